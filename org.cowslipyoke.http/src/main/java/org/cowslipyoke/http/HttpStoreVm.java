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
import org.cowslipyoke.blocks.BlockSeal;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.StoreVm;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;

/** Client of one store VM. */
public final class HttpStoreVm implements StoreVm {

  /** Header with the generation that the bytes of an answer belong to. */
  private static final String GENERATION = "X-Generation";

  private final JsonCaller caller;

  /** Creates a client whose calls end after {@code timeoutMs}. */
  public HttpStoreVm(HttpConnector connector, URI base, long timeoutMs) {
    this.caller =
        new JsonCaller(connector, base, timeoutMs, ErrorKind.NO_SERVER, ErrorKind.INCOMPLETE);
  }

  @Override
  public Either<Failure, List<StoredBlock>> lookup(List<BlockKey> keys) {
    ObjectNode body = Json.object();
    ArrayNode list = body.putArray("keys");
    keys.forEach(k -> list.add(k.hex()));
    return caller.post(
        "/v1/lookup",
        body,
        a -> {
          List<StoredBlock> held = new ArrayList<>();
          for (JsonNode h : Json.array(a, "held")) {
            held.add(held(h));
          }
          return List.copyOf(held);
        });
  }

  @Override
  public Either<Failure, Long> open(BlockKey key, int length) {
    return caller.post(
        "/v1/open",
        Json.object().put("key", key.hex()).put("length", length),
        a -> Json.integer(a, "generation"));
  }

  @Override
  public Either<Failure, Boolean> write(BlockKey key, long generation, byte[] bytes) {
    return caller.put(data(key, generation), bytes, a -> Json.bool(a, "written"));
  }

  @Override
  public Either<Failure, Boolean> seal(BlockKey key, BlockSeal seal) {
    return caller.post(
        "/v1/seal",
        Json.object()
            .put("key", key.hex())
            .put("generation", seal.generation())
            .put("length", seal.length())
            .put("checksum", seal.checksum()),
        a -> Json.bool(a, "sealed"));
  }

  @Override
  public Either<Failure, Optional<BlockData>> read(BlockKey key, long generation) {
    return caller
        .call("GET", data(key, generation), "", new byte[0])
        .flatMap(RawBody::optional)
        .flatMap(
            found ->
                found.isEmpty()
                    ? Either.right(Optional.empty())
                    : dataOf(found.get()).map(Optional::of));
  }

  private static Either<Failure, BlockData> dataOf(HttpConnector.BufferedResponse answer) {
    try {
      return Either.right(new BlockData(Long.parseLong(answer.header(GENERATION)), answer.body()));
    } catch (NumberFormatException e) {
      return Either.left(
          Failure.of(ErrorKind.PROTOCOL_ERROR, "answer has no header " + GENERATION));
    }
  }

  private static StoredBlock held(JsonNode h) throws MalformedResponseException {
    return new StoredBlock(
        new BlockKey(Json.text(h, "key")),
        new BlockSeal(
            Json.integer(h, "generation"),
            Json.nonNegativeInt(h, "length"),
            Json.integer(h, "checksum")),
        Tier.valueOf(Json.text(h, "tier").toUpperCase(Locale.ROOT)));
  }

  private static String data(BlockKey key, long generation) {
    return "/v1/data?key=" + key.hex() + "&generation=" + generation;
  }
}
