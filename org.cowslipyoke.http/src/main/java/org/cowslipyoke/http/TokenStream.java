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

/** Reads the newline-delimited JSON of a generation. */
final class TokenStream {

  /** Longest line; a piece is a few bytes. */
  private static final int MAX_LINE = 64 << 10;

  /** Longest error body. */
  private static final int MAX_ERROR = 64 << 10;

  private TokenStream() {}

  /** Passes the tokens of a stream to the sink until the end of the stream. */
  static Either<Failure, StreamEnd> read(HttpConnector.StreamedResponse s, TokenSink sink) {
    boolean done = false;
    try (InputStream in = s.body()) {
      if (s.status() / 100 != 2) {
        return Either.left(JsonCaller.stated(s.status(), in.readNBytes(MAX_ERROR)));
      }
      LineReader lines = new LineReader(in, MAX_LINE);
      for (byte[] line = lines.next(); line != null; line = lines.next()) {
        if (line.length == 0) {
          continue;
        }
        Optional<Either<Failure, StreamEnd>> end = accept(Json.parse(line), sink);
        if (end.isPresent()) {
          done = end.get().isRight();
          return end.get();
        }
      }
      return Either.left(Failure.of(ErrorKind.INCOMPLETE, "stream closed before its end"));
    } catch (IOException e) {
      return Either.left(Failure.of(ErrorKind.INCOMPLETE, "stream broke: " + e.getMessage()));
    } catch (MalformedResponseException e) {
      return Either.left(JsonCaller.malformed(e));
    } finally {
      if (!done) {
        s.abort().run();
      }
    }
  }

  private static Optional<Either<Failure, StreamEnd>> accept(JsonNode n, TokenSink sink)
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
      return Optional.of(Either.left(JsonCaller.statedIn(n.get("error"), "engine error")));
    }
    throw new MalformedResponseException("line is neither started, piece, end nor error");
  }
}
