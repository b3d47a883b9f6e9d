package org.cowslipyoke.daemon.runtime;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.message.Message.Document;
import org.cowslipyoke.message.Message.DocumentPull;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.transport.StreamHandler;

/** Asks one peer for a document over a stream of its own. */
final class DocumentPuller {

  /** Time for an answer; a whole document of 2.7 MB takes far less on the links of section 1. */
  static final long TIMEOUT_MS = 1_500;

  private DocumentPuller() {}

  /**
   * Sends a pull.
   *
   * @param open opens the stream with the given handler
   * @return the answer, which completes exceptionally after {@link #TIMEOUT_MS} or when the stream
   *     ends
   */
  static CompletableFuture<Document> pull(
      Function<StreamHandler, MessageStream> open, String name, long haveVersion) {
    CompletableFuture<Document> answer = new CompletableFuture<>();
    MessageStream stream = open.apply(new Answer(name, answer));
    if (!stream.send(new DocumentPull(name, haveVersion))) {
      answer.completeExceptionally(new IllegalStateException("the stream is closed"));
    }
    return answer
        .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .whenComplete((d, e) -> stream.close());
  }

  private record Answer(String name, CompletableFuture<Document> answer) implements StreamHandler {

    @Override
    public void onMessage(MessageStream stream, Message message) {
      if (message instanceof Document d && d.name().equals(name)) {
        answer.complete(d);
      } else {
        answer.completeExceptionally(new IllegalStateException("unexpected message"));
      }
    }

    @Override
    public void onClosed(MessageStream stream, Failure failure) {
      answer.completeExceptionally(new IllegalStateException(failure.message()));
    }
  }
}
