package org.cowslipyoke.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipyoke.fake.ManualClock;
import org.cowslipyoke.relay.ConnectionSlots.Bounds;
import org.junit.jupiter.api.Test;

/** Tests which connection is closed when there are too many. */
class ConnectionSlotsTest {

  private final ManualClock clock = new ManualClock();
  private final List<String> evicted = new ArrayList<>();
  private boolean stalled;
  private boolean receiving;

  private final ConnectionSlots.Requests requests =
      new ConnectionSlots.Requests() {
        @Override
        public boolean evictStalled() {
          return stalled && evicted.add("stalled");
        }

        @Override
        public boolean evictSlowestRequest() {
          return receiving && evicted.add("slowest");
        }
      };

  private final ConnectionSlots<String> slots =
      new ConnectionSlots<>(clock, new Bounds(16, 10), requests);

  private void openWithRequests(int n) {
    for (int i = 0; i < n; i++) {
      assertEquals(Optional.empty(), slots.opened("r" + i, "a" + i));
      slots.requestBegun("r" + i);
    }
  }

  /** Guards against closing the connections of new callers while others send without end. */
  @Test
  void newConnectionTakesThePlaceOfAnIncompleteRequest() {
    openWithRequests(16);
    receiving = true;
    assertEquals(Optional.empty(), slots.opened("c", "c"));
    stalled = true;
    assertEquals(Optional.empty(), slots.opened("d", "d"));
    assertEquals(List.of("slowest", "stalled"), evicted);
  }

  /** Guards against closing a request in progress while a kept connection waits for its next. */
  @Test
  void longestWaitingConnectionIsClosedFirst() {
    openWithRequests(14);
    stalled = true;
    slots.opened("kept", "k");
    slots.opened("later", "l");
    slots.requestBegun("kept");
    clock.advance(ConnectionSlots.NEW_MS + 1);
    slots.requestEnded("kept");
    assertEquals(Optional.of("later"), slots.opened("new", "n"));
    assertEquals(List.of(), evicted);
  }

  /** Guards against connections that send nothing and so close those of uploads. */
  @Test
  void newConnectionsUseOnlyTheirReserve() {
    openWithRequests(16);
    receiving = true;
    for (int i = 0; i < 3; i++) {
      assertEquals(Optional.empty(), slots.opened("new" + i, "n"));
    }
    assertEquals(Optional.of("new0"), slots.opened("new3", "n"));
    assertEquals(List.of("slowest", "slowest", "slowest"), evicted);
  }

  /** Guards against closing requests that a server works on, and against exceeding the bound. */
  @Test
  void newConnectionIsClosedIfAllOthersHaveCompleteRequests() {
    openWithRequests(16);
    assertEquals(Optional.of("c"), slots.opened("c", "c"));
    slots.closed("c");
    slots.closed("r0");
    assertEquals(Optional.empty(), slots.opened("d", "d"));
    assertEquals(16, slots.open());
  }

  /** Guards against one address that uses all connections. */
  @Test
  void connectionsOfOneAddressAreBounded() {
    for (int i = 0; i < 10; i++) {
      assertEquals(Optional.empty(), slots.opened("c" + i, "a"));
      slots.requestBegun("c" + i);
    }
    assertEquals(Optional.of("c10"), slots.opened("c10", "a"));
    slots.closed("c10");
    assertEquals(Optional.empty(), slots.opened("other", "b"));
    slots.requestEnded("c3");
    assertEquals(Optional.of("c3"), slots.opened("c11", "a"));
    slots.closed("c3");
    slots.closed("c4");
    assertEquals(Optional.empty(), slots.opened("c12", "a"));
  }

  /** Guards against a connection that counts as waiting while its second request is in progress. */
  @Test
  void requestsMayOverlap() {
    slots.opened("c", "a");
    slots.requestBegun("c");
    slots.requestBegun("c");
    slots.requestEnded("c");
    assertEquals(List.of(), slots.waiting());
    slots.requestEnded("c");
    assertEquals(List.of("c"), slots.waiting());
    slots.closed("c");
    slots.requestEnded("c");
    assertEquals(List.of(), slots.waiting());
  }
}
