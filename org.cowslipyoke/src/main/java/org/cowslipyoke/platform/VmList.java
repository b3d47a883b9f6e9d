package org.cowslipyoke.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.errors.Failure;

/** The platform's list of live and leaving VMs. It lags, so it is a hint. */
public interface VmList {

  /** What runs on a VM. */
  enum Role {
    ENTRY,
    SERVER,
    STORE
  }

  /** Life cycle of a VM. */
  enum State {
    LIVE,
    LEAVING
  }

  /**
   * A VM.
   *
   * @param vm unique name
   * @param host IP number
   * @param port port of the daemon's frames, or of the store VM's HTTP interface
   * @param role what runs there
   * @param failureDomain failure domain of the VM
   * @param group server group or store group of the configuration, empty for entries
   * @param state life cycle
   */
  record Vm(
      String vm,
      String host,
      int port,
      Role role,
      String failureDomain,
      String group,
      State state) {}

  /** Reads one VM; empty if the list does not have it. */
  Either<Failure, Optional<Vm>> find(String vm);

  /** Reads the whole list. */
  Either<Failure, List<Vm>> list();
}
