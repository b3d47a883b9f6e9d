package org.cowslipyoke.http;

import io.vavr.control.Either;
import java.net.URI;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.ObjectStore;
import org.cowslipyoke.util.Json;

/** Client of the platform's object store. */
public final class HttpObjectStore implements ObjectStore {

  private final JsonCaller caller;

  /** Creates a client whose calls end after {@code timeoutMs}. */
  public HttpObjectStore(HttpConnector connector, URI base, long timeoutMs) {
    this.caller =
        new JsonCaller(
            connector, base, timeoutMs, ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE);
  }

  @Override
  public Either<Failure, Boolean> put(String key, byte[] bytes) {
    return caller.put(path(key), bytes, a -> Json.bool(a, "stored"));
  }

  @Override
  public Either<Failure, Optional<byte[]>> get(String key) {
    return caller
        .call("GET", path(key), "", new byte[0])
        .flatMap(RawBody::optional)
        .map(found -> found.map(HttpConnector.BufferedResponse::body));
  }

  private static String path(String key) {
    return "/v1/object?" + JsonCaller.param("key", key);
  }
}
