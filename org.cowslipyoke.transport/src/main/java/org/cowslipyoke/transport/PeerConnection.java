package org.cowslipyoke.transport;

/** An open connection on which either side may open streams. */
public interface PeerConnection {

  /** Opens a stream on this connection. */
  MessageStream open(StreamHandler handler);
}
