package org.cowslipyoke.daemon.relay;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.cowslipyoke.relay.CallerMemory;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.jspecify.annotations.Nullable;

/**
 * A caller's connection, which acquires memory for the headers of a request as they are parsed: 16
 * KiB of very short headers take more than 500 KiB of heap.
 */
final class CallerConnection extends HttpConnection {

  /** Heap of one header in bytes, beside its characters. */
  private static final int FIELD_BYTES = 160;

  /** Heap of a head that needs no memory of the budget, in bytes. */
  private static final int FREE_BYTES = 8 << 10;

  /** Bytes that are acquired at a time. */
  private static final int STEP_BYTES = 8 << 10;

  private final CallerMemory memory;
  private final AtomicReference<CallerMemory.@Nullable Holding> holding = new AtomicReference<>();

  /** Whether the connection was closed; its head may still be parsed in another thread then. */
  private volatile boolean closed;

  private long headBytes;
  private long acquired;

  /** Creates the connection; Jetty parses the heads of one connection in one thread at a time. */
  CallerConnection(
      HttpConfiguration config, Connector connector, ReadAheadEndPoint e, CallerMemory memory) {
    super(config, connector, e);
    this.memory = memory;
  }

  /** Returns the memory of the current request, which its handler closes. */
  CallerMemory.Holding takeHolding() {
    CallerMemory.Holding h = holding.getAndSet(null);
    return h == null ? memory.open() : h;
  }

  @Override
  protected RequestHandler newRequestHandler() {
    return new CountingHandler();
  }

  @Override
  public void onClose(@Nullable Throwable cause) {
    closed = true;
    takeHolding().close();
    super.onClose(cause);
  }

  private void beginHead() {
    takeHolding().close();
    headBytes = FIELD_BYTES;
    acquired = FREE_BYTES;
  }

  private boolean tryAcquire(int characters) {
    headBytes += FIELD_BYTES + characters;
    if (headBytes <= acquired) {
      return true;
    }
    CallerMemory.Holding h = holding.get();
    if (h == null) {
      h = memory.open();
      Consumer<CallerMemory.Reason> evict = r -> getEndPoint().close();
      h.watchRequest(evict);
      holding.set(h);
    }
    if (closed) {
      takeHolding().close();
      return false;
    }
    h.transferred(characters);
    acquired += STEP_BYTES;
    return h.tryAcquire(STEP_BYTES);
  }

  private final class CountingHandler extends RequestHandler {

    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
      beginHead();
      super.startRequest(method, uri, version);
    }

    @Override
    public void parsedHeader(HttpField field) {
      String value = field.getValue();
      int n = field.getName().length() + (value == null ? 0 : value.length());
      if (!tryAcquire(n)) {
        throw new HttpException.RuntimeException(
            HttpStatus.SERVICE_UNAVAILABLE_503, "the memory for requests is used up");
      }
      super.parsedHeader(field);
    }
  }
}
