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
 * Clients of the platform's services.
 *
 * @param close releases what the clients share
 */
public record PlatformClients(
    TransactionalTable table,
    ObjectStore objects,
    VmList vms,
    WeightStore weights,
    Runnable close) {

  /** Time-out of small calls. A claim waits for the table, so the caller waits as well. */
  private static final long CALL_MS = 2_000;

  /** Time-out of calls that carry an object. */
  private static final long OBJECT_MS = 5_000;

  /** Returns HTTP clients of the addresses in the settings. */
  static PlatformClients of(Settings settings) {
    Settings.Platform p = settings.platform();
    HttpConnector connector = HttpConnector.start("platform", HttpConnector.Limits.defaults());
    return new PlatformClients(
        new HttpTransactionalTable(connector, URI.create(p.table()), CALL_MS),
        new HttpObjectStore(connector, URI.create(p.objects()), OBJECT_MS),
        new HttpVmList(connector, URI.create(p.vms()), CALL_MS),
        new HttpWeightStore(connector, URI.create(p.weights()), CALL_MS),
        connector::close);
  }
}
