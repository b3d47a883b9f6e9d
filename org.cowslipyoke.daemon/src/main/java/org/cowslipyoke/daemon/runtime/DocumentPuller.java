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

/** Pulls a document from one peer over a separate stream. */
final class DocumentPuller {

  /**
   * Time-out of a pull, in milliseconds. A complete document of 2.7 MB is transferred in far less
   * time.
   */
  static final long TIMEOUT_MS = 1_500;

  private DocumentPuller() {}

  /**
   * Sends a pull message.
   *
   * @param open opens the stream with the given handler
   * @return the document; completes exceptionally after {@link #TIMEOUT_MS} or when the stream
   *     closes
   */
  static CompletableFuture<Document> pull(
      Function<StreamHandler, MessageStream> open, String name, long haveVersion) {
    CompletableFuture<Document> response = new CompletableFuture<>();
    MessageStream stream = open.apply(new ResponseHandler(name, response));
    if (!stream.send(new DocumentPull(name, haveVersion))) {
      response.completeExceptionally(new IllegalStateException("the stream is closed"));
    }
    return response
        .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .whenComplete((d, e) -> stream.close());
  }

  private record ResponseHandler(String name, CompletableFuture<Document> response)
      implements StreamHandler {

    @Override
    public void onMessage(MessageStream stream, Message message) {
      if (message instanceof Document d && d.name().equals(name)) {
        response.complete(d);
      } else {
        response.completeExceptionally(new IllegalStateException("unexpected message"));
      }
    }

    @Override
    public void onClosed(MessageStream stream, Failure failure) {
      response.completeExceptionally(new IllegalStateException(failure.message()));
    }
  }
}
