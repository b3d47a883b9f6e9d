package org.cowslipyoke.daemon.server;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.VmList;

/** VM list of live servers that reflects changes at once. */
final class FakeVmList implements VmList {

  private final List<Vm> all = new ArrayList<>();

  void add(String vm, String group, String failureDomain) {
    all.add(new Vm(vm, "127.0.0.1", 1, Role.SERVER, failureDomain, group, State.LIVE));
  }

  void clear() {
    all.clear();
  }

  @Override
  public Either<Failure, Optional<Vm>> find(String vm) {
    return Either.right(all.stream().filter(v -> v.vm().equals(vm)).findFirst());
  }

  @Override
  public Either<Failure, List<Vm>> list() {
    return Either.right(List.copyOf(all));
  }
}
