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

  private final JsonClient client;

  /** Creates a client whose calls time out after {@code timeoutMs} milliseconds. */
  public HttpObjectStore(HttpConnector connector, URI base, long timeoutMs) {
    this.client =
        new JsonClient(
            connector, base, timeoutMs, ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE);
  }

  @Override
  public Either<Failure, Boolean> put(String key, byte[] bytes) {
    return client.put(objectPath(key), bytes, a -> Json.bool(a, "stored"));
  }

  @Override
  public Either<Failure, Optional<byte[]>> get(String key) {
    return client
        .call("GET", objectPath(key), "", new byte[0])
        .flatMap(RawResponse::optionalContent)
        .map(found -> found.map(HttpConnector.BufferedResponse::body));
  }

  private static String objectPath(String key) {
    return "/v1/object?" + JsonClient.queryParameter("key", key);
  }
}
