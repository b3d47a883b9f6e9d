package org.cowslipyoke.daemon.server;

import java.net.URI;
import java.security.SecureRandom;
import org.cowslipyoke.daemon.runtime.Settings;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.http.HttpModelEngine;
import org.cowslipyoke.http.HttpPlainService;
import org.cowslipyoke.http.HttpStoreVm;

/** Creates HTTP clients for the backends in the settings. */
final class HttpBackendClients {

  /**
   * In milliseconds. An engine sends at least an empty line per second, so a stream without data
   * for this time is broken.
   */
  private static final long ENGINE_TIMEOUT_MS = 3_000;

  /**
   * In milliseconds. Above the longest deadline of a request, 300 s; each call also has its own
   * deadline.
   */
  private static final long SERVICE_TIMEOUT_MS = 310_000;

  /** In milliseconds. Recomputing a block is faster than a longer transfer. */
  private static final long STORE_TIMEOUT_MS = 2_000;

  private HttpBackendClients() {}

  static BackendClients of(HttpConnector connector, Settings.Backend backend) {
    String engine = backend.engine();
    String service = backend.service();
    return new BackendClients(
        engine == null
            ? null
            : new HttpModelEngine(connector, URI.create(engine), ENGINE_TIMEOUT_MS),
        service == null
            ? null
            : new HttpPlainService(connector, URI.create(service), SERVICE_TIMEOUT_MS),
        vm ->
            new HttpStoreVm(
                connector, URI.create("http://" + vm.host() + ":" + vm.port()), STORE_TIMEOUT_MS),
        new SecureRandom());
  }
}
