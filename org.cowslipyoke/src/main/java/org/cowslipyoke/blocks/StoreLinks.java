package org.cowslipyoke.blocks;

import org.cowslipyoke.platform.StoreVm;
import org.cowslipyoke.platform.VmList.Vm;

/** Access to store VMs over links with bandwidth budgets. */
public interface StoreLinks {

  /** Returns the client of a store VM. */
  StoreVm client(Vm vm);

  /** Returns whether the link to the VM is open. */
  boolean isOpen(Vm vm);

  /** Returns the present rate of the link in bytes per second. */
  double rate(Vm vm);

  /**
   * Acquires budget for one transfer. An implementation may block until the budget is available.
   *
   * @return false if the transfer must not be made
   */
  boolean acquire(Vm vm, long bytes);

  /** Records a complete transfer. */
  void succeeded(Vm vm, long bytes, long tookMs);

  /** Records a response without a transfer, for example from a store VM that is full. */
  void onResponse(Vm vm);

  /** Records a failed call. */
  void failed(Vm vm);
}
