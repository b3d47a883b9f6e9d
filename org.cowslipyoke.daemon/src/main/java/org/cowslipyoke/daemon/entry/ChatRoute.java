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

/** Turns the body of a model request into a run. */
final class ChatRoute {

  private final RunSetup setup;

  ChatRoute(RunSetup setup) {
    this.setup = setup;
  }

  /** Returns the driver of the request, not yet started. */
  Either<Failure, RunDriver> begin(
      Exchange x, Configuration c, Caller caller, byte[] body, Runnable end) {
    return ChatRequest.parse(body).flatMap(r -> begin(x, c, caller, r, end));
  }

  private Either<Failure, RunDriver> begin(
      Exchange x, Configuration c, Caller caller, ChatRequest r, Runnable end) {
    Model model = c.models().get(r.model());
    if (model == null) {
      return Either.left(Failure.of(ErrorKind.NOT_FOUND, "the model does not exist"));
    }
    RequestSpec spec = spec(caller, r, model);
    RequestStateMachine run = new RequestStateMachine(spec, setup.context(model.group(), c));
    return Either.right(
        RunSetup.driver(
            x,
            writer ->
                new RunDriver(
                    setup.services(),
                    run,
                    new ChatReply(
                        writer,
                        caller.requestId(),
                        model.name(),
                        r.stream(),
                        spec.routing().promptTokens(),
                        spec.skipTokens()),
                    caller,
                    model.name(),
                    end)));
  }

  private RequestSpec spec(Caller caller, ChatRequest r, Model model) {
    String organisation = caller.organisation().name();
    byte[] prompt = PromptRenderer.render(r.messages());
    // The engines' adapters are chosen by model in the configuration; requests name none yet.
    List<BlockKey> keys =
        BlockChain.keys(organisation, model.name(), model.weightVersion(), "", prompt);
    byte[] digest = Digests.sha256(utf8(organisation), utf8(model.name()), prompt);
    byte[] conversation =
        caller
            .conversationId()
            .map(ChatRoute::utf8)
            .orElseGet(() -> PromptRenderer.opening(r.messages()));
    byte[] placement = Digests.sha256(utf8(organisation), utf8(model.name()), conversation);
    int max = r.maxTokens() == 0 ? model.maxTokens() : Math.min(r.maxTokens(), model.maxTokens());
    RoutingRequest shape =
        new RoutingRequest(organisation, model.name(), placement, BlockChain.tokens(prompt.length));
    return new RequestSpec(
        caller.requestId(),
        shape,
        "",
        model.weightVersion(),
        HexFormat.of().formatHex(digest),
        caller.priority(),
        setup.services().context().clock().nowMs() + caller.deadlineMs(),
        max,
        prompt,
        keys,
        caller.idempotencyKey(),
        caller.skipTokens());
  }

  private static byte[] utf8(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }
}
