package org.cowslipyoke.http.internal;

import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.eclipse.jetty.client.transport.HttpExchange;

/** HTTP/1.1 transport over the connections of {@link ServerConnections}. */
public final class ServerTransport extends HttpClientTransportOverHTTP {

  /** Creates a transport. */
  public ServerTransport(ServerConnections connections) {
    super(connections);
  }

  @Override
  public Destination newDestination(Origin origin) {
    return new HttpDestination(getHttpClient(), origin) {

      @Override
      public void send(HttpExchange exchange) {
        ServerConnections.register(exchange.getRequest());
        super.send(exchange);
      }

      /**
       * Fails the requests that still wait for a connection. Jetty fails a copy of the queue, which
       * may include requests that have meanwhile been assigned a connection and are in progress.
       */
      @Override
      public void failed(Throwable cause) {
        for (HttpExchange e = getHttpExchanges().poll(); e != null; e = getHttpExchanges().poll()) {
          var unused = e.getRequest().abort(cause);
        }
      }
    };
  }
}
