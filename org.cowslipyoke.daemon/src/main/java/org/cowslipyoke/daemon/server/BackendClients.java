package org.cowslipyoke.daemon.server;

import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.platform.PlainService;
import org.cowslipyoke.platform.StoreVm;
import org.cowslipyoke.platform.VmList.Vm;
import org.jspecify.annotations.Nullable;

/**
 * Clients of the backend and of the store VMs that a server daemon uses.
 *
 * @param engine the model engine beside the daemon, null if the backend is a plain service
 * @param service the plain service beside the daemon, null if the backend is an engine
 * @param stores creates the client of a store VM
 * @param random source of jitter, run ids and the first reservation id
 */
public record BackendClients(
    @Nullable ModelEngine engine,
    @Nullable PlainService service,
    Function<Vm, StoreVm> stores,
    RandomGenerator random) {}
