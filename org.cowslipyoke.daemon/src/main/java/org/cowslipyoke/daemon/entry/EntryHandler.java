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

/** HTTP front end: authentication, admission and routing of requests to models and services. */
final class EntryHandler extends Handler.Abstract.NonBlocking {

  /** Path of model requests. */
  static final String CHAT_PATH = "/v1/chat/completions";

  private static final Logger LOG = LogManager.getLogger(EntryHandler.class);
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final EntryAdmission admission;
  private final ChatRoute chat;
  private final ServiceRoute services;
  private final KeyIndex keys = new KeyIndex();

  EntryHandler(EntryAdmission admission, ChatRoute chat, ServiceRoute services) {
    this.admission = admission;
    this.chat = chat;
    this.services = services;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    request.addIdleTimeoutListener(e -> false);
    String requestId = Caller.requestId(request.getHeaders());
    Exchange x = new Exchange(request, response, callback, requestId);
    Optional<Failure> closed = admission.closed();
    if (closed.isPresent()) {
      return refuseUnread(x, closed.get());
    }
    Configuration c = admission.configuration();
    Optional<Organisation> organisation = organisation(c, request);
    if (organisation.isEmpty()) {
      return refuseUnread(x, Failure.of(ErrorKind.UNAUTHENTICATED, "the bearer key is not known"));
    }
    Either<Failure, Caller> caller =
        Caller.of(
            organisation.get(), request.getHeaders(), requestId, c.limits().defaultDeadlineMs());
    if (caller.isLeft()) {
      return refuseUnread(x, caller.getLeft());
    }
    String path = Request.getPathInContext(request);
    boolean isChat = path.equals(CHAT_PATH) && request.getMethod().equals("POST");
    Optional<Service> service = isChat ? Optional.empty() : services.find(c, path);
    if (!isChat && service.isEmpty()) {
      return refuseUnread(x, Failure.of(ErrorKind.NOT_FOUND, "there is nothing at this path"));
    }
    Either<Failure, Permit> permit = admission.admit(organisation.get());
    if (permit.isLeft()) {
      return refuseUnread(x, permit.getLeft());
    }
    Runnable end = admission.began(permit.get(), request);
    readBody(x, c, caller.get(), service, end);
    return true;
  }

  private void readBody(
      Exchange x, Configuration c, Caller caller, Optional<Service> service, Runnable end) {
    int max = c.limits().maxBodyBytes() > 0 ? c.limits().maxBodyBytes() : MAX_BODY_BYTES;
    admission.readBody(
        x.request(),
        Math.min(max, MAX_BODY_BYTES),
        body -> {
          try {
            Either<Failure, RunDriver> driver =
                body.flatMap(
                    b ->
                        service.isPresent()
                            ? services.begin(x, c, caller, service.get(), b, end)
                            : chat.begin(x, c, caller, b, end));
            if (driver.isRight()) {
              driver.get().start();
              return;
            }
            refuse(x, driver.getLeft());
            end.run();
          } catch (RuntimeException e) {
            LOG.error("a request could not be begun", e);
            refuse(x, Failure.of(ErrorKind.INTERNAL, "the entry failed"));
            end.run();
          }
        });
  }

  private Optional<Organisation> organisation(Configuration c, Request request) {
    String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
    if (header == null || !header.regionMatches(true, 0, "Bearer ", 0, 7)) {
      return Optional.empty();
    }
    return keys.find(c, header.substring(7).trim());
  }

  /**
   * Refuses a request before its body was read. The connection can't be used again, because Jetty
   * closes it if the body has not arrived; the header tells the caller so.
   */
  private boolean refuseUnread(Exchange x, Failure failure) {
    if (x.request().getLength() != 0) {
      x.response().getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    return refuse(x, failure);
  }

  @SuppressWarnings("try") // The log context only has to be closed.
  private boolean refuse(Exchange x, Failure failure) {
    admission.refused(failure);
    try (var unused = CloseableThreadContext.put("requestId", x.requestId())) {
      LOG.info("request refused, kind={}", failure.kind().wireName());
    }
    if (failure.kind() == ErrorKind.TOO_LARGE) {
      x.response().getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    new ReplyWriter(x.response(), x.callback(), () -> {}).error(failure, x.requestId());
    return true;
  }
}
