package org.cowslipyoke.daemon.runtime;

import java.net.URI;
import java.util.Random;
import org.cowslipyoke.daemon.entry.EntryRole;
import org.cowslipyoke.daemon.runtime.Settings.Backend;
import org.cowslipyoke.daemon.server.Backends;
import org.cowslipyoke.daemon.server.ServerRole;
import org.cowslipyoke.http.HttpConnector;
import org.cowslipyoke.http.HttpModelEngine;
import org.cowslipyoke.http.HttpPlainService;
import org.cowslipyoke.http.HttpStoreVm;

/** Makes the role that the settings name, with the clients of its backend server. */
final class Roles {

  /** Silence after which a stream of an engine counts as broken; a first token may take long. */
  private static final long ENGINE_MS = 30_000;

  /** Longest deadline of a request; the deadline of each call is applied on top. */
  private static final long SERVICE_MS = 300_000;

  private static final long STORE_MS = 5_000;

  private Roles() {}

  static Role of(DaemonContext context) {
    Backend backend = context.settings().backend();
    return backend == null ? new EntryRole(context) : new ServerRole(context, backends(backend));
  }

  private static Backends backends(Backend backend) {
    HttpConnector connector = HttpConnector.start("backend", HttpConnector.Limits.defaults());
    String engine = backend.engine();
    String service = backend.service();
    return new Backends(
        engine == null ? null : new HttpModelEngine(connector, URI.create(engine), ENGINE_MS),
        service == null ? null : new HttpPlainService(connector, URI.create(service), SERVICE_MS),
        vm ->
            new HttpStoreVm(
                connector, URI.create("http://" + vm.host() + ":" + vm.port()), STORE_MS),
        new Random());
  }
}
