package org.cowslipyoke.transport;

/** Opens streams to peers; connections are made on demand, shared and replaced when silent. */
public interface StreamOpener {

  /**
   * Opens a stream without waiting. If no connection can be made within the connect timeout, the
   * handler's {@code onClosed} is called with kind {@code NO_SERVER}.
   *
   * @param host IP number
   * @param port frame port
   */
  MessageStream open(String host, int port, StreamHandler handler);
}
