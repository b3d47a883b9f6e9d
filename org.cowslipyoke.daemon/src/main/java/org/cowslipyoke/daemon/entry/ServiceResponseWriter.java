package org.cowslipyoke.daemon.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message.ServiceReply;
import org.cowslipyoke.request.Completion;
import org.eclipse.jetty.http.HttpFields;

/** Writes the response of a plain service as the HTTP response. */
final class ServiceResponseWriter implements ResponseSink {

  private static final ObjectMapper JSON = new ObjectMapper();

  private record Recorded(int status, List<String> headers, byte[] body) {}

  private final ResponseWriter writer;
  private final String requestId;

  ServiceResponseWriter(ResponseWriter writer, String requestId) {
    this.writer = writer;
    this.requestId = requestId;
  }

  /** Returns the JSON that is recorded for a call with an idempotency key. */
  static byte[] encode(ServiceReply r) {
    try {
      return JSON.writeValueAsBytes(new Recorded(r.status(), r.headers(), r.body()));
    } catch (IOException e) {
      throw new IllegalStateException("a service response cannot be written as JSON", e);
    }
  }

  @Override
  public void started(String server, int reusedTokens) {
    writer.response().getHeaders().put(Headers.SERVER, server);
  }

  @Override
  public void relay(long offset, List<String> pieces) {
    throw new IllegalStateException("a call of a plain service received tokens");
  }

  @Override
  public void finish(Completion completion) {
    throw new IllegalStateException("a call of a plain service received a completion");
  }

  @Override
  public void reply(String server, ServiceReply reply) {
    started(server, 0);
    write(reply.status(), reply.headers(), reply.body());
  }

  @Override
  public void replay(byte[] recorded) {
    try {
      Recorded r = JSON.readValue(recorded, Recorded.class);
      write(r.status(), r.headers(), r.body());
    } catch (IOException e) {
      refuse(Failure.of(ErrorKind.INTERNAL, "the recorded service response cannot be parsed"));
    }
  }

  @Override
  public void refuse(Failure failure) {
    writer.writeError(failure, requestId);
  }

  private void write(int status, List<String> headers, byte[] body) {
    writer.response().setStatus(status);
    HttpFields.Mutable out = writer.response().getHeaders();
    for (int i = 0; i + 1 < headers.size(); i += 2) {
      if (!Headers.NOT_FORWARDED.contains(headers.get(i).toLowerCase(Locale.ROOT))) {
        out.add(headers.get(i), headers.get(i + 1));
      }
    }
    out.put(Headers.REQUEST_ID, requestId);
    writer.end(body);
  }
}
