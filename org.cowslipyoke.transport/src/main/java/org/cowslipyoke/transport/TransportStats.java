package org.cowslipyoke.transport;

import java.util.concurrent.atomic.LongAdder;

/** Counts of frames and bytes since the start of a node. Thread-safe. */
public final class TransportStats {

  private final Traffic controlIn = new Traffic();
  private final Traffic controlOut = new Traffic();
  private final Traffic requestIn = new Traffic();
  private final Traffic requestOut = new Traffic();
  private final LongAdder silent = new LongAdder();
  private final LongAdder protocolErrors = new LongAdder();
  private final LongAdder connections = new LongAdder();

  TransportStats() {}

  /** Frames and bytes of one direction and class. */
  public static final class Traffic {

    private final LongAdder frames = new LongAdder();
    private final LongAdder bytes = new LongAdder();

    private Traffic() {}

    /** Returns the number of frames. */
    public long frames() {
      return frames.sum();
    }

    /** Returns the number of bytes, including the lengths of the frames. */
    public long bytes() {
      return bytes.sum();
    }

    private void add(long frameBytes) {
      frames.increment();
      bytes.add(frameBytes);
    }
  }

  /** Returns received heartbeats, greetings, notices, documents and closes of streams. */
  public Traffic controlIn() {
    return controlIn;
  }

  /** Returns sent heartbeats, greetings, notices, documents and closes of streams. */
  public Traffic controlOut() {
    return controlOut;
  }

  /** Returns all other received messages. */
  public Traffic requestIn() {
    return requestIn;
  }

  /** Returns all other messages handed to the network. */
  public Traffic requestOut() {
    return requestOut;
  }

  /** Returns the number of connections closed because nothing was received. */
  public long silentConnections() {
    return silent.sum();
  }

  /** Returns the number of connections closed because of malformed input. */
  public long protocolErrors() {
    return protocolErrors.sum();
  }

  /** Returns the number of connections that are open or being made. */
  public long connections() {
    return connections.sum();
  }

  void received(boolean control, long frameBytes) {
    (control ? controlIn : requestIn).add(frameBytes);
  }

  void sent(boolean control, long frameBytes) {
    (control ? controlOut : requestOut).add(frameBytes);
  }

  void silentClosed() {
    silent.increment();
  }

  void protocolError() {
    protocolErrors.increment();
  }

  void connectionsChanged(int change) {
    connections.add(change);
  }
}
