package org.cowslipyoke.daemon.server;

import io.vavr.control.Either;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Fencing;
import org.cowslipyoke.config.Configuration.Group;
import org.cowslipyoke.config.Configuration.Model;
import org.cowslipyoke.config.ConfigurationHolder;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.lease.LoadingSlots;
import org.cowslipyoke.lease.LoadingSlots.Slot;
import org.cowslipyoke.lease.OrderLease;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.platform.ModelEngine.Order;
import org.cowslipyoke.platform.ModelEngine.State;
import org.cowslipyoke.platform.OrderKinds;
import org.cowslipyoke.platform.VmList;
import org.jspecify.annotations.Nullable;

/**
 * Reconciles the model, the weight version and the adapters of the engine with the configuration.
 *
 * <p>Each step reads the engine's state, compares it with the configuration and sends at most one
 * order. The next step therefore sees and corrects the result of an order whose response was lost
 * or that another lease holder sent. Loading weights requires a loading slot and an idle engine.
 * Admission is closed only while the lease and the slot are held, so that an outage of the table
 * does not keep the server out of service.
 */
final class WeightReconciler {

  /** Delay between steps while there is nothing to do, in milliseconds. */
  static final long IDLE_INTERVAL_MS = 1_000;

  /** Delay between steps while waiting for running runs or the engine, in milliseconds. */
  static final long BUSY_INTERVAL_MS = 100;

  /**
   * Delay between attempts to acquire a slot, in milliseconds. 3,100 waiting servers read 620 rows
   * per second; the table supports 2,000.
   */
  static final long SLOT_RETRY_INTERVAL_MS = 5_000;

  /** Maximum time for an order to reach the engine, in milliseconds. */
  static final long ORDER_TIMEOUT_MS = 2_000;

  /** Opens or closes the admission of new runs. */
  @FunctionalInterface
  interface AdmissionGate {

    /** Sets whether new runs are admitted and returns the number of runs that have not ended. */
    int setAdmitting(boolean admitting);
  }

  private static final Logger LOG = LogManager.getLogger(WeightReconciler.class);

  private final String group;
  private final ConfigurationHolder configuration;
  private final ModelEngine engine;
  private final OrderLease lease;
  private final LoadingSlots slots;
  private final VmList vms;
  private final BooleanSupplier serving;
  private final AdmissionGate gate;
  private @Nullable Slot slot;
  private boolean admissionClosed;

  /**
   * Creates a reconciler.
   *
   * @param group server group of this VM
   * @param serving whether this server admits new runs, disregarding the gate
   */
  WeightReconciler(
      String group,
      ConfigurationHolder configuration,
      ModelEngine engine,
      OrderLease lease,
      LoadingSlots slots,
      VmList vms,
      BooleanSupplier serving,
      AdmissionGate gate) {
    this.group = group;
    this.configuration = configuration;
    this.engine = engine;
    this.lease = lease;
    this.slots = slots;
    this.vms = vms;
    this.serving = serving;
    this.gate = gate;
  }

  /**
   * Performs one step; blocks for a few calls to the engine and the platform.
   *
   * @return milliseconds until the next step
   */
  synchronized long step() {
    Optional<Configuration> c = configuration.current();
    Optional<Model> target = c.flatMap(this::target);
    if (c.isEmpty() || target.isEmpty()) {
      return abandon("no model is configured", IDLE_INTERVAL_MS);
    }
    Either<Failure, State> read = engine.state();
    if (read.isLeft()) {
      // The engine may be loading or restarting; the gate stays as it is until its state is known.
      return IDLE_INTERVAL_MS;
    }
    State state = read.get();
    if (state.loading()) {
      return awaitLoad();
    }
    Optional<Order> order = difference(target.get(), state);
    if (order.isEmpty()) {
      return completeSwap();
    }
    return reconcile(c.get(), order.get());
  }

  /** Releases the lease and the slot; called during a graceful shutdown. */
  synchronized void stop() {
    releaseSlot();
    lease.release();
  }

  /**
   * Returns the model to load. An engine holds one model; if the group has several, the first by
   * name is used.
   */
  private Optional<Model> target(Configuration c) {
    return c.models().values().stream()
        .filter(m -> m.group().equals(group))
        .min(Comparator.comparing(Model::name));
  }

  private static Optional<Order> difference(Model target, State state) {
    if (!state.model().equals(target.name())
        || !state.weightVersion().equals(target.weightVersion())) {
      return Optional.of(new Order(OrderKinds.LOAD, target.name(), "", target.weightVersion(), ""));
    }
    for (String a : target.adapters()) {
      if (!state.adapters().contains(a)) {
        return Optional.of(adapterOrder(OrderKinds.LOAD_ADAPTER, target, a));
      }
    }
    for (String a : state.adapters()) {
      if (!target.adapters().contains(a)) {
        return Optional.of(adapterOrder(OrderKinds.UNLOAD_ADAPTER, target, a));
      }
    }
    return Optional.empty();
  }

  private static Order adapterOrder(String kind, Model target, String adapter) {
    return new Order(kind, target.name(), adapter, target.weightVersion(), "");
  }

  private long reconcile(Configuration c, Order order) {
    Group g = c.places().groups().get(group);
    if (g == null) {
      return abandon("the server group is not in the configuration", IDLE_INTERVAL_MS);
    }
    final boolean awaitEarlierTerm = g.fencing() == Fencing.IGNORED;
    Either<Failure, Long> allowed =
        lease.acquire().flatMap(n -> lease.checkOrder(awaitEarlierTerm, ORDER_TIMEOUT_MS));
    if (allowed.isLeft()) {
      Failure f = allowed.getLeft();
      return abandon(
          f.message(), Math.min(Math.max(f.retryAfterMs(), BUSY_INTERVAL_MS), IDLE_INTERVAL_MS));
    }
    if (order.kind().equals(OrderKinds.LOAD)) {
      if (!acquireSlot(c, g)) {
        return abandon("no loading slot is free", SLOT_RETRY_INTERVAL_MS);
      }
      admissionClosed = true;
      if (gate.setAdmitting(false) > 0) {
        return BUSY_INTERVAL_MS;
      }
    }
    return sendOrder(order, awaitEarlierTerm);
  }

  private long sendOrder(Order order, boolean awaitEarlierTerm) {
    Either<Failure, Long> number = lease.checkOrder(awaitEarlierTerm, ORDER_TIMEOUT_MS);
    if (number.isLeft()) {
      return BUSY_INTERVAL_MS;
    }
    Either<Failure, State> answer = engine.order(order, number.get());
    LOG.info(
        "weight order sent, kind={} weightVersion={} adapter={} fencingNumber={} result={}",
        order.kind(),
        order.weightVersion(),
        order.adapter(),
        number.get(),
        answer.fold(f -> f.kind().wireName(), s -> "taken"));
    if (answer.isLeft() && answer.getLeft().kind() == ErrorKind.CONFLICT) {
      lease.invalidate();
    }
    return BUSY_INTERVAL_MS;
  }

  private long awaitLoad() {
    Slot s = slot;
    if (s != null && slots.needsRenewal(s)) {
      slots.renew(s).forEach(renewed -> slot = renewed.orElse(null));
    }
    return BUSY_INTERVAL_MS;
  }

  private long completeSwap() {
    reopenAdmission();
    releaseSlot();
    return IDLE_INTERVAL_MS;
  }

  /** Abandons a swap in progress and reopens admission with the weights that are loaded. */
  private long abandon(String reason, long retryMs) {
    if (admissionClosed || slot != null) {
      LOG.warn("weight swap abandoned, reason={}", reason);
    }
    reopenAdmission();
    releaseSlot();
    return retryMs;
  }

  private void reopenAdmission() {
    if (admissionClosed) {
      int running = gate.setAdmitting(true);
      admissionClosed = false;
      LOG.info("admission reopened, running={}", running);
    }
  }

  private void releaseSlot() {
    Slot s = slot;
    slot = null;
    if (s != null && slots.isHeld(s)) {
      slots.release(s);
    }
  }

  private boolean acquireSlot(Configuration c, Group g) {
    Slot s = slot;
    if (s != null && slots.isHeld(s) && !slots.needsRenewal(s)) {
      return true;
    }
    Either<Failure, Optional<Slot>> next =
        s != null && slots.isHeld(s)
            ? slots.renew(s)
            : usableSlots(c).flatMap(n -> slots.acquire(g.weightStore(), n));
    slot = next.isRight() ? next.get().orElse(null) : null;
    return slot != null;
  }

  /**
   * Returns the number of slots that servers of this group may use. Servers use the first slots
   * only, so at most this many load at once and at least half of the group keeps serving. A server
   * that is not serving, and the only server of a group, may use every slot.
   */
  private Either<Failure, Integer> usableSlots(Configuration c) {
    if (!serving.getAsBoolean()) {
      return Either.right(LoadingSlots.SLOTS);
    }
    return vms.list()
        .map(
            all -> {
              List<VmList.Vm> members =
                  all.stream()
                      .filter(v -> v.role() == VmList.Role.SERVER && v.group().equals(group))
                      .toList();
              long available =
                  members.stream()
                      .filter(v -> v.state() == VmList.State.LIVE)
                      .filter(v -> c.places().acceptsNewWork(v.failureDomain()))
                      .count();
              long spare = available - (members.size() + 1) / 2;
              return members.size() <= 1 ? LoadingSlots.SLOTS : (int) Math.max(0, spare);
            });
  }
}
