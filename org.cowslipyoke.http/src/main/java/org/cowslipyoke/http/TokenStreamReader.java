package org.cowslipyoke.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.http.internal.LineReader;
import org.cowslipyoke.platform.ModelEngine.StreamEnd;
import org.cowslipyoke.platform.ModelEngine.TokenSink;
import org.cowslipyoke.util.Json;
import org.cowslipyoke.util.MalformedResponseException;

/** Reads the newline-delimited JSON in which an engine streams the tokens of a generation. */
final class TokenStreamReader {

  /** Maximum length of a line, in bytes; the text of a token has only a few bytes. */
  private static final int MAX_LINE_BYTES = 64 << 10;

  /** Maximum number of bytes that are read of an error body. */
  private static final int MAX_ERROR_BYTES = 64 << 10;

  private TokenStreamReader() {}

  /** Passes the tokens to the sink until the stream ends; aborts it if it ends with a failure. */
  static Either<Failure, StreamEnd> read(HttpConnector.StreamedResponse s, TokenSink sink) {
    boolean ended = false;
    try (InputStream in = s.body()) {
      if (s.status() / 100 != 2) {
        return Either.left(JsonClient.statedFailure(s.status(), in.readNBytes(MAX_ERROR_BYTES)));
      }
      LineReader lines = new LineReader(in, MAX_LINE_BYTES);
      for (byte[] line = lines.next(); line != null; line = lines.next()) {
        if (line.length == 0) {
          continue;
        }
        Optional<Either<Failure, StreamEnd>> end = handleLine(Json.parse(line), sink);
        if (end.isPresent()) {
          ended = end.get().isRight();
          return end.get();
        }
      }
      return Either.left(Failure.of(ErrorKind.INCOMPLETE, "stream closed before its end"));
    } catch (IOException e) {
      return Either.left(
          Failure.of(ErrorKind.INCOMPLETE, "reading the stream failed: " + e.getMessage()));
    } catch (MalformedResponseException e) {
      return Either.left(JsonClient.malformedResponse(e));
    } finally {
      if (!ended) {
        s.abort().run();
      }
    }
  }

  private static Optional<Either<Failure, StreamEnd>> handleLine(JsonNode n, TokenSink sink)
      throws MalformedResponseException {
    if (n.has("piece")) {
      boolean more = sink.token(Json.integer(n, "offset"), Json.text(n, "piece"));
      return more
          ? Optional.empty()
          : Optional.of(Either.left(Failure.of(ErrorKind.CANCELLED, "reader stopped")));
    }
    if (n.has("started")) {
      JsonNode s = n.get("started");
      sink.started(
          Json.text(s, "weightVersion"),
          Json.nonNegativeInt(s, "reusedTokens"),
          Json.nonNegativeInt(s, "recomputedTokens"));
      return Optional.empty();
    }
    if (n.has("end")) {
      JsonNode e = n.get("end");
      return Optional.of(
          Either.right(new StreamEnd(Json.integer(e, "tokenCount"), Json.text(e, "finishReason"))));
    }
    if (n.has("error")) {
      return Optional.of(Either.left(JsonClient.decodeError(n.get("error"), "engine error")));
    }
    throw new MalformedResponseException(
        "stream line has none of the fields started, piece, end and error");
  }
}
