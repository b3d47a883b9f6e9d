package org.cowslipyoke.blocks;

import io.vavr.control.Either;
import java.util.List;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.StoreVm;
import org.cowslipyoke.platform.StoreVm.StoredBlock;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.util.Clock;

/**
 * Writes blocks to store VMs: first the bytes under a new generation, then the seal. A copy that
 * fails in between stays unsealed and is never readable; it is not tried again under its number.
 */
public final class BlockWriter {

  /** What became of a copy. */
  public enum Result {
    /** The copy is sealed. */
    WRITTEN,
    /** The VM has no room, or the link is closed or over its budget. */
    REFUSED,
    /** A call failed. */
    FAILED
  }

  private final StoreLinks links;
  private final Clock clock;

  /** Creates a writer over links. */
  public BlockWriter(StoreLinks links, Clock clock) {
    this.links = links;
    this.clock = clock;
  }

  /**
   * Returns whether the VM holds a sealed copy, so that none needs to be written. If it cannot be
   * asked, the following write fails for the same reason.
   */
  public boolean isPresent(BlockKey key, Vm vm) {
    if (!links.isOpen(vm)) {
      return false;
    }
    Either<Failure, List<StoredBlock>> held = links.client(vm).lookup(List.of(key));
    if (held.isLeft()) {
      links.failed(vm);
      return false;
    }
    return !held.get().isEmpty();
  }

  /** Writes one copy of a block. */
  public Result write(BlockKey key, byte[] bytes, Vm vm) {
    if (!links.isOpen(vm) || !links.acquire(vm, bytes.length)) {
      return Result.REFUSED;
    }
    StoreVm store = links.client(vm);
    Either<Failure, Long> opened = store.open(key, bytes.length);
    if (opened.isLeft()) {
      return failed(vm, opened.getLeft());
    }
    BlockSeal seal = BlockSeal.of(opened.get(), bytes);
    long begin = clock.nowMs();
    Either<Failure, Boolean> written = store.write(key, seal.generation(), bytes);
    if (written.isLeft()) {
      return failed(vm, written.getLeft());
    }
    links.succeeded(vm, bytes.length, clock.nowMs() - begin);
    if (!written.get()) {
      return Result.REFUSED;
    }
    Either<Failure, Boolean> sealed = store.seal(key, seal);
    if (sealed.isLeft()) {
      return failed(vm, sealed.getLeft());
    }
    return sealed.get() ? Result.WRITTEN : Result.REFUSED;
  }

  /** A store that is full answers, so its link is sound. */
  private Result failed(Vm vm, Failure failure) {
    switch (failure.kind()) {
      case OVERLOADED, NOT_FOUND, CONFLICT, TOO_LARGE -> {
        links.onResponse(vm);
        return Result.REFUSED;
      }
      default -> {
        links.failed(vm);
        return Result.FAILED;
      }
    }
  }
}
