package org.cowslipyoke.daemon.server;

import java.net.URI;
import java.security.SecureRandom;
import org.cowslipyoke.daemon.runtime.Settings;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.http.HttpModelEngine;
import org.cowslipyoke.http.HttpPlainService;
import org.cowslipyoke.http.HttpStoreVm;

/** Clients over HTTP for the backends that the settings name. */
final class HttpBackends {

  /** An engine sends at least an empty line a second, so a stream is silent after this time. */
  private static final long ENGINE_MS = 3_000;

  /** Above the longest deadline of a request; each call has its own deadline. */
  private static final long SERVICE_MS = 310_000;

  /** A block that takes longer is recomputed sooner. */
  private static final long STORE_MS = 2_000;

  private HttpBackends() {}

  static Backends of(HttpConnector connector, Settings.Backend backend) {
    String engine = backend.engine();
    String service = backend.service();
    return new Backends(
        engine == null ? null : new HttpModelEngine(connector, URI.create(engine), ENGINE_MS),
        service == null ? null : new HttpPlainService(connector, URI.create(service), SERVICE_MS),
        vm ->
            new HttpStoreVm(
                connector, URI.create("http://" + vm.host() + ":" + vm.port()), STORE_MS),
        new SecureRandom());
  }
}
