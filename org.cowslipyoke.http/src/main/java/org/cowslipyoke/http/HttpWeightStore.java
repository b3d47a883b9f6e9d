package org.cowslipyoke.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.WeightStore;
import org.cowslipyoke.util.Json;

/** Client of the weight store. */
public final class HttpWeightStore implements WeightStore {

  private final JsonCaller caller;

  /** Creates a client whose calls end after {@code timeoutMs}. */
  public HttpWeightStore(HttpConnector connector, URI base, long timeoutMs) {
    this.caller =
        new JsonCaller(
            connector, base, timeoutMs, ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE);
  }

  @Override
  public Either<Failure, Listing> versions(String model) {
    return caller.get(
        "/v1/versions?" + JsonCaller.param("model", model),
        a -> {
          List<String> versions = new ArrayList<>();
          for (JsonNode v : Json.array(a, "versions")) {
            versions.add(v.asText());
          }
          return new Listing(List.copyOf(versions), Json.nonNegativeInt(a, "loading"));
        });
  }
}
