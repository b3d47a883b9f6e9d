package org.cowslipyoke.http;

import java.util.concurrent.Executor;
import org.cowslipyoke.http.internal.ServerConnections;
import org.cowslipyoke.http.internal.ServerTransport;
import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ByteBufferPool;

/** Creates the HTTP clients of a process. */
final class ClientFactory {

  /**
   * Maximum size of the head of a request in bytes: that of a caller's head in the users' limits,
   * 16 KiB, and as much for headers that the process adds.
   */
  private static final int MAX_REQUEST_HEAD_BYTES = 32 << 10;

  private ClientFactory() {}

  /** Starts a client as described at {@link HttpConnector#startClient}. */
  static HttpClient start(String name, HttpConnector.Limits limits, Executor threads, long idleMs) {
    ServerConnections connections = new ServerConnections(limits.maxWireBytes());
    HttpClient c = new HttpClient(new ServerTransport(connections));
    c.setExecutor(threads);
    // Jetty 12.1.5 releases the buffer of a response that breaks off twice, so that a pool hands it
    // to two connections, which then lose bytes or read those of each other.
    c.setByteBufferPool(new ByteBufferPool.NonPooling());
    c.setUseInputDirectByteBuffers(false);
    c.setUseOutputDirectByteBuffers(false);
    c.setMaxConnectionsPerDestination(limits.maxConnections());
    c.setMaxRequestsQueuedPerDestination(limits.maxQueued());
    c.setMaxRequestHeadersSize(MAX_REQUEST_HEAD_BYTES);
    c.setMaxResponseHeadersSize(HttpConnector.MAX_HEAD_BYTES);
    c.setConnectTimeout(limits.connectTimeoutMs());
    c.setAddressResolutionTimeout(limits.connectTimeoutMs());
    c.setIdleTimeout(idleMs);
    c.setFollowRedirects(false);
    c.setHttpCookieStore(new HttpCookieStore.Empty());
    c.setUserAgentField(new HttpField(HttpHeader.USER_AGENT, name));
    try {
      c.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client failed to start", e);
    }
    c.getProtocolHandlers().clear();
    c.getProtocolHandlers().put(new ContinueProtocolHandler());
    c.getProtocolHandlers().put(new ProcessingProtocolHandler());
    c.getProtocolHandlers().put(new EarlyHintsProtocolHandler());
    c.getContentDecoderFactories().clear();
    return c;
  }
}
