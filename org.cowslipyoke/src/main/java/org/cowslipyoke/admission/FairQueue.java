package org.cowslipyoke.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Bounded queue with two priority classes. Within a class, deficit round-robin serves the
 * organisations by weight. While overnight work waits it gets at least one of {@link
 * #OVERNIGHT_TURN_INTERVAL} turns, and every turn for which no interactive work waits. Not
 * thread-safe.
 *
 * <p>Shreedhar and Varghese, "Efficient fair queuing using deficit round-robin", IEEE/ACM
 * Transactions on Networking 4(3), 1996.
 */
public final class FairQueue<T> {

  /** One in this many turns goes to overnight work while some waits. */
  public static final int OVERNIGHT_TURN_INTERVAL = 10;

  /** Cost units credited to weight 1 in a round; about the cost of a usual prompt in blocks. */
  private static final int QUANTUM = 8;

  /** Upper bound of one entry's cost; it bounds the number of rounds in one poll. */
  private static final int MAX_COST = 512;

  private record Entry<T>(T value, int cost) {}

  /** The queued entries of one organisation in one class. */
  private static final class Flow<T> {
    private final Deque<Entry<T>> entries = new ArrayDeque<>();
    private int weight = 1;
    private long deficit;
    private boolean credited;
  }

  /** The queue of one priority class: its organisations in round-robin order. */
  private static final class ClassQueue<T> {
    private final Map<String, Flow<T>> flows = new HashMap<>();
    private final Deque<String> order = new ArrayDeque<>();

    boolean isEmpty() {
      return order.isEmpty();
    }

    void add(String organisation, int weight, Entry<T> entry) {
      Flow<T> flow = flows.get(organisation);
      if (flow == null) {
        flow = new Flow<>();
        flows.put(organisation, flow);
        order.addLast(organisation);
      }
      flow.weight = Math.max(1, weight);
      flow.entries.addLast(entry);
    }

    T next() {
      while (true) {
        String organisation = order.getFirst();
        Flow<T> flow = flows.get(organisation);
        if (flow == null) {
          throw new IllegalStateException("an organisation in turn has entries");
        }
        if (!flow.credited) {
          flow.deficit += (long) flow.weight * QUANTUM;
          flow.credited = true;
        }
        Entry<T> head = flow.entries.getFirst();
        if (head.cost() <= flow.deficit) {
          flow.deficit -= head.cost();
          flow.entries.removeFirst();
          dropIfEmpty(organisation, flow);
          return head.value();
        }
        flow.credited = false;
        order.addLast(order.removeFirst());
      }
    }

    List<T> removeIf(Predicate<T> condition) {
      List<T> removed = new ArrayList<>();
      for (String organisation : List.copyOf(order)) {
        Flow<T> flow = flows.get(organisation);
        if (flow == null) {
          continue;
        }
        flow.entries.removeIf(
            e -> {
              boolean matches = condition.test(e.value());
              if (matches) {
                removed.add(e.value());
              }
              return matches;
            });
        dropIfEmpty(organisation, flow);
      }
      return removed;
    }

    /**
     * Removes an organisation without entries. Its deficit is dropped, so that an idle organisation
     * cannot accumulate credit.
     */
    private void dropIfEmpty(String organisation, Flow<T> flow) {
      if (flow.entries.isEmpty()) {
        flows.remove(organisation);
        order.remove(organisation);
      }
    }

    int size(String organisation) {
      Flow<T> flow = flows.get(organisation);
      return flow == null ? 0 : flow.entries.size();
    }
  }

  private final int capacity;
  private final ClassQueue<T> interactive = new ClassQueue<>();
  private final ClassQueue<T> overnight = new ClassQueue<>();
  private int size;
  private int interactiveTurns;

  /** Creates a queue for at most {@code capacity} entries. */
  public FairQueue(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds an entry. One organisation may use at most half of the capacity, so that it cannot lock
   * out the others.
   *
   * @param cost cost of serving the entry, in blocks of the prompt
   * @return false if the queue or the organisation's share of it is full
   */
  public boolean offer(PriorityClass priority, String organisation, int weight, int cost, T value) {
    int own = interactive.size(organisation) + overnight.size(organisation);
    if (size >= capacity || own >= Math.max(1, capacity / 2)) {
      return false;
    }
    ClassQueue<T> queue = priority == PriorityClass.INTERACTIVE ? interactive : overnight;
    queue.add(organisation, weight, new Entry<>(value, Math.max(1, Math.min(MAX_COST, cost))));
    size++;
    return true;
  }

  /** Removes and returns the entry to serve next; empty if the queue is empty. */
  public Optional<T> poll() {
    if (size == 0) {
      return Optional.empty();
    }
    size--;
    boolean overnightTurn =
        interactive.isEmpty()
            || (!overnight.isEmpty() && interactiveTurns >= OVERNIGHT_TURN_INTERVAL - 1);
    if (overnightTurn) {
      interactiveTurns = 0;
      return Optional.of(overnight.next());
    }
    interactiveTurns = overnight.isEmpty() ? 0 : interactiveTurns + 1;
    return Optional.of(interactive.next());
  }

  /** Removes and returns all entries that meet the condition. */
  public List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>(interactive.removeIf(condition));
    removed.addAll(overnight.removeIf(condition));
    size -= removed.size();
    return removed;
  }

  /** Returns the number of entries. */
  public int size() {
    return size;
  }
}
