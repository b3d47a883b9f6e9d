package org.cowslipyoke.blocks;

import org.cowslipyoke.platform.StoreVm;
import org.cowslipyoke.platform.VmList.Vm;

/** Access to store VMs over links with a budget. */
public interface StoreLinks {

  /** Returns the client of a store VM. */
  StoreVm client(Vm vm);

  /** Returns whether the link to the VM is open. */
  boolean isOpen(Vm vm);

  /** Returns the present rate of the link in bytes a second. */
  double rate(Vm vm);

  /**
   * Takes the budget of one transfer, waiting for it if the implementation does.
   *
   * @return false if the transfer must not take place
   */
  boolean acquire(Vm vm, long bytes);

  /** Records a complete transfer. */
  void succeeded(Vm vm, long bytes, long tookMs);

  /** Records an answer that moved no block, for example of a full store. */
  void onResponse(Vm vm);

  /** Records a failed call. */
  void failed(Vm vm);
}
