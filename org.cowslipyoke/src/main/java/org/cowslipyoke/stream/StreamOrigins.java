package org.cowslipyoke.stream;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.relay.BackendServer;
import org.jspecify.annotations.Nullable;

/** Knows which version of server software began a stream. */
public interface StreamOrigins {

  /** A stream whose request was sent to a server. */
  @FunctionalInterface
  interface Beginning {

    /**
     * Asks whether the first event may be passed on.
     *
     * @return completes with true once every entry can find the version that began the stream, with
     *     false if that can't be ensured in time
     */
    CompletableFuture<Boolean> firstEvent();
  }

  /**
   * Finds the version that began a stream.
   *
   * @param service service that the request was drawn for
   * @param firstRequest id of the request that brought the first event, null if the caller does not
   *     name it
   * @return the version; a failure if it is not known or if another service began the stream
   */
  CompletableFuture<Either<Failure, String>> find(String service, @Nullable String firstRequest);

  /**
   * Records that a request for a new stream is sent to a server.
   *
   * @param attempt number of the attempt, from 1
   * @param shared whether the route draws one of several services for each request
   */
  Beginning begin(String service, String request, int attempt, String software, boolean shared);

  /** Records that the stream of a request has been passed on to its end. */
  void completed(String request);

  /**
   * Asks whether the process at a server's address is the incarnation that is listed, whose version
   * is therefore known. A server may start again with another version under its id and address.
   *
   * @return completes with false only if another incarnation has answered
   */
  CompletableFuture<Boolean> isListedIncarnation(BackendServer server);

  /** Returns the servers at which a new stream may begin now. */
  List<BackendServer> permitted(String service, List<BackendServer> candidates);
}
