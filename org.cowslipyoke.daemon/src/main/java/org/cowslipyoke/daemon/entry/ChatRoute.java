package org.cowslipyoke.daemon.entry;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.cowslipyoke.blocks.BlockChain;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.config.Configuration;
import org.cowslipyoke.config.Configuration.Model;
import org.cowslipyoke.daemon.runtime.DaemonContext;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.VmList.Vm;
import org.cowslipyoke.request.RequestRun;
import org.cowslipyoke.request.RequestSpec;
import org.cowslipyoke.request.RunContext;
import org.cowslipyoke.routing.FleetView;
import org.cowslipyoke.routing.RequestShape;
import org.cowslipyoke.routing.RetryBudget;
import org.cowslipyoke.routing.RoutingPolicy;
import org.cowslipyoke.util.Digests;
import org.jspecify.annotations.Nullable;

/** Turns the body of a model request into a run. */
final class ChatRoute {

  private final EntryServices services;
  private final FleetView fleet;
  private final RoutingPolicy policy;
  private final RetryBudget retries;

  ChatRoute(EntryServices services, FleetView fleet, RoutingPolicy policy, RetryBudget retries) {
    this.services = services;
    this.fleet = fleet;
    this.policy = policy;
    this.retries = retries;
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
    DaemonContext context = services.context();
    Supplier<List<Vm>> servers =
        () -> {
          Configuration now = context.configuration().current().orElse(c);
          return fleet.servers(model.group(), now.places());
        };
    RunContext runContext =
        new RunContext(context.clock(), policy, retries, context.suspects(), servers);
    AtomicReference<@Nullable RunDriver> driver = new AtomicReference<>();
    ReplyWriter writer =
        new ReplyWriter(
            x.response(),
            x.callback(),
            () -> {
              RunDriver d = driver.get();
              if (d != null) {
                d.callerGone();
              }
            });
    ChatReply reply =
        new ChatReply(
            writer,
            caller.requestId(),
            model.name(),
            r.stream(),
            spec.shape().promptTokens(),
            spec.skipTokens());
    RequestRun run = new RequestRun(spec, runContext);
    RunDriver d = new RunDriver(services, run, reply, caller, model.name(), end);
    driver.set(d);
    return Either.right(d);
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
    RequestShape shape =
        new RequestShape(organisation, model.name(), placement, BlockChain.tokens(prompt.length));
    return new RequestSpec(
        caller.requestId(),
        shape,
        "",
        model.weightVersion(),
        HexFormat.of().formatHex(digest),
        caller.priority(),
        services.context().clock().nowMs() + caller.deadlineMs(),
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
