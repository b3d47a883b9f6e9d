package org.cowslipyoke.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.errors.Failure;

/** The platform's list of live and leaving VMs. It lags, so callers must treat it as a hint. */
public interface VmList {

  /** Kind of daemon or service that runs on a VM. */
  enum Role {
    ENTRY,
    SERVER,
    STORE
  }

  /** Lifecycle state of a VM. */
  enum State {
    LIVE,
    LEAVING
  }

  /**
   * A VM.
   *
   * @param vm unique name
   * @param host IP address
   * @param port port of the daemon's frames, or of the store VM's HTTP interface
   * @param role kind of daemon or service that runs on the VM
   * @param failureDomain failure domain of the VM
   * @param group server group or store group of the configuration, empty for entries
   * @param state lifecycle state
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
