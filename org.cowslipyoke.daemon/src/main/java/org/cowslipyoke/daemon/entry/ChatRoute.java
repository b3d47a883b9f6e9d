package org.cowslipyoke.daemon.entry;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Model;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.request.RequestSpec;
import org.cowslipyoke.request.RequestStateMachine;
import org.cowslipyoke.routing.RoutingRequest;
import org.cowslipyoke.util.Digests;

/** Creates the driver of a chat completion request from its body. */
final class ChatRoute {

  private final RequestDriverFactory driverFactory;

  ChatRoute(RequestDriverFactory driverFactory) {
    this.driverFactory = driverFactory;
  }

  /** Returns a driver that has not been started, or why the request is invalid. */
  Either<Failure, RequestDriver> createDriver(
      Exchange exchange, Configuration c, RequestMetadata metadata, byte[] body, Runnable onEnd) {
    return ChatRequest.parse(body).flatMap(r -> createDriver(exchange, c, metadata, r, onEnd));
  }

  private Either<Failure, RequestDriver> createDriver(
      Exchange exchange, Configuration c, RequestMetadata metadata, ChatRequest r, Runnable onEnd) {
    Model model = c.models().get(r.model());
    if (model == null) {
      return Either.left(Failure.of(ErrorKind.NOT_FOUND, "the model does not exist"));
    }
    RequestSpec spec = spec(metadata, r, model);
    RequestStateMachine run =
        new RequestStateMachine(spec, driverFactory.runContext(model.group(), c));
    return Either.right(
        RequestDriverFactory.create(
            exchange,
            writer ->
                new RequestDriver(
                    driverFactory.services(),
                    run,
                    new ChatResponseWriter(
                        writer,
                        metadata.requestId(),
                        model.name(),
                        r.stream(),
                        spec.routing().promptTokens(),
                        spec.skipTokens()),
                    metadata,
                    model.name(),
                    onEnd)));
  }

  private RequestSpec spec(RequestMetadata metadata, ChatRequest r, Model model) {
    String organisation = metadata.organisation().name();
    byte[] prompt = PromptRenderer.render(r.messages());
    // Requests cannot select an adapter; the configuration lists the adapters of each model.
    List<BlockKey> keys =
        BlockChain.keys(organisation, model.name(), model.weightVersion(), "", prompt);
    byte[] digest = Digests.sha256(utf8(organisation), utf8(model.name()), prompt);
    byte[] conversation =
        metadata
            .conversationId()
            .map(ChatRoute::utf8)
            .orElseGet(() -> PromptRenderer.conversationPrefix(r.messages()));
    byte[] placement = Digests.sha256(utf8(organisation), utf8(model.name()), conversation);
    int max = r.maxTokens() == 0 ? model.maxTokens() : Math.min(r.maxTokens(), model.maxTokens());
    RoutingRequest shape =
        new RoutingRequest(organisation, model.name(), placement, BlockChain.tokens(prompt.length));
    return new RequestSpec(
        metadata.requestId(),
        shape,
        "",
        model.weightVersion(),
        HexFormat.of().formatHex(digest),
        metadata.priority(),
        driverFactory.services().context().clock().nowMs() + metadata.deadlineMs(),
        max,
        prompt,
        keys,
        metadata.idempotencyKey(),
        metadata.skipTokens());
  }

  private static byte[] utf8(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }
}
