package org.cowslipyoke.daemon.entry;

import io.vavr.control.Either;
import java.util.Optional;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipyoke.admission.OrganisationLimits.Permit;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Organisation;
import org.cowslipyoke.config.Configuration.Service;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * HTTP front end: authenticates and admits requests and routes them to models and plain services.
 */
final class EntryHandler extends Handler.Abstract.NonBlocking {

  /** Path of chat completion requests. */
  static final String CHAT_PATH = "/v1/chat/completions";

  private static final Logger LOG = LogManager.getLogger(EntryHandler.class);
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final EntryAdmission admission;
  private final ChatRoute chat;
  private final ServiceRoute services;
  private final BearerKeyIndex bearerKeys = new BearerKeyIndex();

  EntryHandler(EntryAdmission admission, ChatRoute chat, ServiceRoute services) {
    this.admission = admission;
    this.chat = chat;
    this.services = services;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    request.addIdleTimeoutListener(e -> false);
    String requestId = RequestMetadata.requestId(request.getHeaders());
    Exchange exchange = new Exchange(request, response, callback, requestId);
    Optional<Failure> refusal = admission.refusal();
    if (refusal.isPresent()) {
      return refuseUnread(exchange, refusal.get());
    }
    Configuration c = admission.configuration();
    Optional<Organisation> organisation = authenticate(c, request);
    if (organisation.isEmpty()) {
      return refuseUnread(
          exchange, Failure.of(ErrorKind.UNAUTHENTICATED, "the bearer key is missing or unknown"));
    }
    Either<Failure, RequestMetadata> metadata =
        RequestMetadata.parse(
            organisation.get(), request.getHeaders(), requestId, c.limits().defaultDeadlineMs());
    if (metadata.isLeft()) {
      return refuseUnread(exchange, metadata.getLeft());
    }
    String path = Request.getPathInContext(request);
    boolean isChat = path.equals(CHAT_PATH) && request.getMethod().equals("POST");
    Optional<Service> service = isChat ? Optional.empty() : services.find(c, path);
    if (!isChat && service.isEmpty()) {
      return refuseUnread(
          exchange, Failure.of(ErrorKind.NOT_FOUND, "no model or service has this path"));
    }
    Either<Failure, Permit> permit = admission.admit(organisation.get());
    if (permit.isLeft()) {
      return refuseUnread(exchange, permit.getLeft());
    }
    Runnable onEnd = admission.trackRequest(permit.get(), request);
    readBody(exchange, c, metadata.get(), service, onEnd);
    return true;
  }

  private void readBody(
      Exchange exchange,
      Configuration c,
      RequestMetadata metadata,
      Optional<Service> service,
      Runnable onEnd) {
    int max = c.limits().maxBodyBytes() > 0 ? c.limits().maxBodyBytes() : MAX_BODY_BYTES;
    admission.readBody(
        exchange.request(),
        Math.min(max, MAX_BODY_BYTES),
        body -> {
          try {
            Either<Failure, RequestDriver> driver =
                body.flatMap(
                    b ->
                        service.isPresent()
                            ? services.createDriver(exchange, c, metadata, service.get(), b, onEnd)
                            : chat.createDriver(exchange, c, metadata, b, onEnd));
            if (driver.isRight()) {
              driver.get().start();
              return;
            }
            refuse(exchange, driver.getLeft());
            onEnd.run();
          } catch (RuntimeException e) {
            LOG.error("creating the driver of a request failed", e);
            refuse(exchange, Failure.of(ErrorKind.INTERNAL, "internal error at the entry"));
            onEnd.run();
          }
        });
  }

  private Optional<Organisation> authenticate(Configuration c, Request request) {
    String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
    if (header == null || !header.regionMatches(true, 0, "Bearer ", 0, 7)) {
      return Optional.empty();
    }
    return bearerKeys.find(c, header.substring(7).trim());
  }

  /**
   * Refuses a request whose body has not been read. Jetty closes the connection if the body has not
   * arrived, so the header tells the caller not to reuse it.
   */
  private boolean refuseUnread(Exchange exchange, Failure failure) {
    if (exchange.request().getLength() != 0) {
      exchange.response().getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    return refuse(exchange, failure);
  }

  @SuppressWarnings("try") // The log context only has to be closed.
  private boolean refuse(Exchange exchange, Failure failure) {
    admission.countRefusal(failure);
    try (var unused = CloseableThreadContext.put("requestId", exchange.requestId())) {
      LOG.info("request refused, kind={}", failure.kind().wireName());
    }
    if (failure.kind() == ErrorKind.TOO_LARGE || failure.kind() == ErrorKind.OVERLOADED) {
      exchange.response().getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    new ResponseWriter(exchange.response(), exchange.callback(), () -> {})
        .writeError(failure, exchange.requestId());
    return true;
  }
}
