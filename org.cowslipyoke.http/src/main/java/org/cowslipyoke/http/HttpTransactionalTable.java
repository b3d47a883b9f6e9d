package org.cowslipyoke.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;

/** Client of the platform's transactional table. */
public final class HttpTransactionalTable implements TransactionalTable {

  /** Status of an answer that states that the table applied nothing. */
  private static final int NOT_APPLIED_STATUS = 503;

  private final JsonCaller caller;

  /** Creates a client whose calls end after {@code timeoutMs}. */
  public HttpTransactionalTable(HttpConnector connector, URI base, long timeoutMs) {
    this.caller =
        new JsonCaller(
            connector, base, timeoutMs, ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE);
  }

  @Override
  public Either<Failure, Optional<Row>> read(String key) {
    return caller.post(
        "/v1/read",
        Json.object().put("key", key),
        a -> {
          JsonNode row = Json.field(a, "row");
          return row.isNull() ? Optional.empty() : Optional.of(row(row));
        });
  }

  @Override
  public Either<Failure, List<Row>> scan(String prefix, int limit) {
    return caller.post(
        "/v1/scan",
        Json.object().put("prefix", prefix).put("limit", limit),
        a -> {
          List<Row> rows = new ArrayList<>();
          for (JsonNode r : Json.array(a, "rows")) {
            rows.add(row(r));
          }
          return List.copyOf(rows);
        });
  }

  @Override
  public Commit commit(List<Write> writes) {
    ObjectNode body = Json.object();
    ArrayNode list = body.putArray("writes");
    for (Write w : writes) {
      list.addObject()
          .put("key", w.key())
          .put("expectedVersion", w.expectedVersion())
          .put("value", w.value().orElse(null))
          .put("ttlMs", w.ttlMs());
    }
    return caller
        .exchange("POST", "/v1/commit", HttpConnector.JSON, Json.bytes(body))
        .fold(
            b ->
                status(
                    b.loss() == HttpConnector.FailureKind.NOT_SENT
                        ? CommitStatus.NOT_APPLIED
                        : CommitStatus.UNKNOWN),
            HttpTransactionalTable::commitOf);
  }

  private static Commit commitOf(HttpConnector.BufferedResponse answer) {
    if (answer.status() == NOT_APPLIED_STATUS || answer.status() / 100 == 4) {
      return status(CommitStatus.NOT_APPLIED);
    }
    return JsonCaller.parse(
            answer,
            a -> {
              List<String> conflicts = new ArrayList<>();
              for (JsonNode k : Json.array(a, "conflicts")) {
                conflicts.add(k.asText());
              }
              String name = Json.text(a, "status").toUpperCase(Locale.ROOT);
              return new Commit(CommitStatus.valueOf(name), List.copyOf(conflicts));
            })
        .getOrElse(status(CommitStatus.UNKNOWN));
  }

  private static Commit status(CommitStatus s) {
    return new Commit(s, List.of());
  }

  private static Row row(JsonNode r) throws MalformedResponseException {
    return new Row(Json.text(r, "key"), Json.integer(r, "version"), Json.text(r, "value"));
  }
}
