package org.cowslipyoke.daemon.relay;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;

/** Creates HTTP/1.1 connections whose end point is a {@link ReadAheadEndPoint}. */
final class ReadAheadConnectionFactory extends HttpConnectionFactory {

  ReadAheadConnectionFactory(HttpConfiguration config) {
    super(config);
  }

  @Override
  public Connection newConnection(Connector connector, EndPoint endPoint) {
    return super.newConnection(connector, new ReadAheadEndPoint(endPoint));
  }
}
