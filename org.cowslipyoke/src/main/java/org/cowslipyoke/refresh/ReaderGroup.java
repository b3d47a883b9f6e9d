package org.cowslipyoke.refresh;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import org.cowslipyoke.util.Rendezvous;

/**
 * The live entries that share their reads of tables and caches, from the view of one of them. Each
 * table and each node with a cache has an order of readers, a rendezvous hash over their names, so
 * that entries with the same view agree on it without an election and different tables have
 * different first readers. A group is replaced when an entry starts or ends.
 */
public final class ReaderGroup {

  /**
   * Maximum number of live entries up to which all share their reads. A call to the store costs
   * users as much as some hundred datagrams, so one reader for all is cheapest; above this number
   * the first reader would send more than the 3 KB/s that control may take.
   */
  public static final int MAX_SHARED_BY_ALL = 64;

  /**
   * A live entry.
   *
   * @param failureDomain failure domain of its VM, empty if the entry did not state it
   */
  public record Member(String vm, String failureDomain) {}

  private final Member self;
  private final List<String> readers;
  private final Map<String, Integer> ranks = new ConcurrentHashMap<>();

  private ReaderGroup(Member self, List<String> readers) {
    this.self = self;
    this.readers = readers;
  }

  /**
   * Returns the group of an entry: all live entries, or only those in its failure domain if there
   * are more than {@link #MAX_SHARED_BY_ALL}.
   *
   * @param others the other live entries
   */
  public static ReaderGroup of(Member self, List<Member> others) {
    boolean all = others.size() < MAX_SHARED_BY_ALL;
    List<String> readers = new ArrayList<>(List.of(self.vm()));
    for (Member m : others) {
      if (all || m.failureDomain().equals(self.failureDomain())) {
        readers.add(m.vm());
      }
    }
    return new ReaderGroup(self, List.copyOf(readers));
  }

  /** Returns whether an entry belongs to the group. */
  public boolean contains(String vm) {
    return readers.contains(vm);
  }

  /** Returns the number of entries in the group, at least 1. */
  public int size() {
    return readers.size();
  }

  /**
   * Returns the position of this entry in the order of readers of a table or a node, 0 for the
   * first.
   */
  public int rank(String name) {
    return ranks.computeIfAbsent(name, this::computeRank);
  }

  private int computeRank(String name) {
    return Rendezvous.top(
            name.getBytes(StandardCharsets.UTF_8), readers, UnaryOperator.identity(), size())
        .indexOf(self.vm());
  }
}
