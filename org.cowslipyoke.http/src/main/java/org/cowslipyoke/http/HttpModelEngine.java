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
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ModelEngine;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * Client of one model engine.
 *
 * <p>A stream is aborted when it brings no byte for the client's time-out; the engine sends an
 * empty line at least every second.
 */
public final class HttpModelEngine implements ModelEngine {

  /** Longest stream; twice the longest deadline of a request. */
  private static final long MAX_STREAM_MS = 600_000;

  private static final Either<Failure, Optional<byte[]>> NO_BLOCK = Either.right(Optional.empty());

  private final JsonCaller caller;

  /** Creates a client whose calls end after {@code timeoutMs}, streams when silent that long. */
  public HttpModelEngine(HttpConnector connector, URI base, long timeoutMs) {
    this.caller =
        new JsonCaller(connector, base, timeoutMs, ErrorKind.NO_SERVER, ErrorKind.INCOMPLETE);
  }

  @Override
  public Either<Failure, StreamEnd> generate(Generation g, TokenSink sink) {
    ObjectNode body =
        Json.object()
            .put("runId", g.runId())
            .put("model", g.model())
            .put("adapter", g.adapter())
            .put("prompt", g.prompt())
            .put("generatedPrefix", g.generatedPrefix())
            .put("offset", g.offset())
            .put("maxTokens", g.maxTokens())
            .put("priority", g.priority());
    ArrayNode keys = body.putArray("blockKeys");
    g.blockKeys().forEach(k -> keys.add(k.hex()));
    return stream("/v1/generate", body, sink);
  }

  @Override
  public Either<Failure, StreamEnd> resume(String runId, long offset, TokenSink sink) {
    return stream("/v1/resume", Json.object().put("runId", runId).put("offset", offset), sink);
  }

  @Override
  public Either<Failure, Boolean> cancel(String runId) {
    return caller.post(
        "/v1/cancel", Json.object().put("runId", runId), a -> Json.bool(a, "cancelled"));
  }

  @Override
  public Either<Failure, Optional<byte[]>> exportBlock(BlockKey key) {
    return caller
        .call("GET", block(key), "", new byte[0])
        .flatMap(RawBody::optional)
        .flatMap(found -> found.map(HttpModelEngine::wholeBlock).orElse(NO_BLOCK));
  }

  /** Nothing else tells a whole block from one that was cut short. */
  private static Either<Failure, Optional<byte[]>> wholeBlock(HttpConnector.BufferedResponse a) {
    boolean framed =
        !a.header("Content-Length").isEmpty() || !a.header("Transfer-Encoding").isEmpty();
    return framed
        ? Either.right(Optional.of(a.body()))
        : Either.left(Failure.of(ErrorKind.PROTOCOL_ERROR, "a block without a length"));
  }

  @Override
  public Either<Failure, Boolean> importBlock(BlockKey key, byte[] bytes) {
    return caller.put(block(key), bytes, a -> Json.bool(a, "imported"));
  }

  @Override
  public Either<Failure, List<BlockKey>> cachedBlocks() {
    return caller.get(
        "/v1/cache",
        a -> {
          List<BlockKey> keys = new ArrayList<>();
          for (JsonNode k : Json.array(a, "keys")) {
            keys.add(new BlockKey(k.asText()));
          }
          return List.copyOf(keys);
        });
  }

  @Override
  public Either<Failure, CacheEvents> cacheEvents(long after) {
    return caller.get(
        "/v1/cache/events?after=" + after,
        a -> {
          List<CacheEvent> events = new ArrayList<>();
          for (JsonNode e : Json.array(a, "events")) {
            events.add(
                new CacheEvent(
                    Json.integer(e, "sequence"),
                    CacheChange.valueOf(Json.text(e, "change").toUpperCase(Locale.ROOT)),
                    new BlockKey(Json.text(e, "key"))));
          }
          return new CacheEvents(Json.integer(a, "firstAvailable"), List.copyOf(events));
        });
  }

  @Override
  public Either<Failure, Load> load() {
    return caller.get(
        "/v1/load",
        a ->
            new Load(
                Json.text(a, "incarnation"),
                Json.bool(a, "cold"),
                Json.nonNegativeInt(a, "running"),
                Json.nonNegativeInt(a, "waiting"),
                Json.nonNegativeInt(a, "maxBatch"),
                Json.field(a, "prefillTokensPerSecond").asDouble(),
                Json.field(a, "decodeTokensPerSecond").asDouble()));
  }

  @Override
  public Either<Failure, State> state() {
    return caller.get("/v1/state", HttpModelEngine::stateOf);
  }

  @Override
  public Either<Failure, State> order(Order o, long fencingNumber) {
    ObjectNode body =
        Json.object()
            .put("kind", o.kind())
            .put("model", o.model())
            .put("adapter", o.adapter())
            .put("weightVersion", o.weightVersion())
            .put("engineRole", o.engineRole())
            .put("fencingNumber", fencingNumber);
    return caller.post("/v1/order", body, HttpModelEngine::stateOf);
  }

  private Either<Failure, StreamEnd> stream(String path, ObjectNode body, TokenSink sink) {
    return caller.stream(path, body, MAX_STREAM_MS).flatMap(s -> TokenStream.read(s, sink));
  }

  private static State stateOf(JsonNode a) throws MalformedResponseException {
    List<String> adapters = new ArrayList<>();
    for (JsonNode n : Json.array(a, "adapters")) {
      adapters.add(n.asText());
    }
    return new State(
        Json.text(a, "incarnation"),
        Json.text(a, "model"),
        Json.text(a, "weightVersion"),
        List.copyOf(adapters),
        Json.text(a, "engineRole"),
        Json.bool(a, "loading"),
        Json.integer(a, "fencingNumber"));
  }

  private static String block(BlockKey key) {
    return "/v1/block?key=" + key.hex();
  }
}
