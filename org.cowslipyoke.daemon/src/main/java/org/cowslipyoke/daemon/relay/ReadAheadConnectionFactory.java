package org.cowslipyoke.daemon.relay;

import org.cowslipyoke.relay.CallerMemory;
import org.cowslipyoke.util.Clock;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;

/** Creates HTTP/1.1 connections whose end point is a {@link ReadAheadEndPoint}. */
final class ReadAheadConnectionFactory extends HttpConnectionFactory {

  private final CallerMemory memory;
  private final Clock clock;

  ReadAheadConnectionFactory(HttpConfiguration config, CallerMemory memory, Clock clock) {
    super(config);
    this.memory = memory;
    this.clock = clock;
  }

  @Override
  public Connection newConnection(Connector connector, EndPoint endPoint) {
    ReadAheadEndPoint e = new ReadAheadEndPoint(endPoint, clock);
    return configure(
        new CallerConnection(getHttpConfiguration(), connector, e, memory), connector, e);
  }
}
