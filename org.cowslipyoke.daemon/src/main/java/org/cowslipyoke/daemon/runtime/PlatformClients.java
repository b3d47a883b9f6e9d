package org.cowslipyoke.daemon.runtime;

import java.net.URI;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.http.HttpObjectStore;
import org.cowslipyoke.http.HttpTransactionalTable;
import org.cowslipyoke.http.HttpVmList;
import org.cowslipyoke.http.HttpWeightStore;
import org.cowslipyoke.platform.ObjectStore;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.platform.WeightStore;

/**
 * Clients of the platform services.
 *
 * @param close closes the connections that the clients share
 */
public record PlatformClients(
    TransactionalTable table,
    ObjectStore objects,
    VmList vms,
    WeightStore weights,
    Runnable close) {

  /**
   * Time-out of small calls, in milliseconds. Callers wait for the table while a claim is written.
   */
  private static final long CALL_TIMEOUT_MS = 2_000;

  /** Time-out of calls that transfer an object, in milliseconds. */
  private static final long OBJECT_TIMEOUT_MS = 5_000;

  /** Creates HTTP clients for the addresses in the settings. */
  static PlatformClients of(Settings settings) {
    Settings.Platform p = settings.platform();
    HttpConnector connector = HttpConnector.start("platform", HttpConnector.Limits.defaults());
    return new PlatformClients(
        new HttpTransactionalTable(connector, URI.create(p.table()), CALL_TIMEOUT_MS),
        new HttpObjectStore(connector, URI.create(p.objects()), OBJECT_TIMEOUT_MS),
        new HttpVmList(connector, URI.create(p.vms()), CALL_TIMEOUT_MS),
        new HttpWeightStore(connector, URI.create(p.weights()), CALL_TIMEOUT_MS),
        connector::close);
  }
}
