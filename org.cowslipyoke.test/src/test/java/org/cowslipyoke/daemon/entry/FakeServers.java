package org.cowslipyoke.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiFunction;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Message;
import org.cowslipyoke.transport.MessageStream;
import org.cowslipyoke.transport.StreamHandler;
import org.cowslipyoke.transport.StreamOpener;
import org.cowslipyoke.util.Digests;

/**
 * Server daemons without a network: a responder per message type responds to each message at once.
 */
final class FakeServers implements StreamOpener {

  /** Marker in a responder's result that closes the stream. */
  static final Message RESET = new Message.Heartbeat();

  final List<Message> received = new CopyOnWriteArrayList<>();
  private final Map<Class<?>, BiFunction<String, Message, List<Message>>> responders =
      new ConcurrentHashMap<>();

  FakeServers() {
    on(Message.Probe.class, (id, m) -> List.of(offer(-1)));
    on(Message.Start.class, (id, m) -> completion(id));
    on(Message.Resume.class, (id, m) -> completion(id));
    on(
        Message.ServiceCall.class,
        (id, m) -> {
          byte[] body = ((Message.ServiceCall) m).path().getBytes(StandardCharsets.UTF_8);
          List<String> headers = List.of("Content-Type", "text/plain");
          return List.of(new Message.ServiceReply(id, 201, headers, body, Digests.crc32c(body)));
        });
  }

  static Message offer(long runningOffset) {
    return new Message.Offer(1, 4, 0, 0, 10, 0, 0, "v1", runningOffset);
  }

  static List<Message> completion(String id) {
    long crc = Digests.crc32c("Hello".getBytes(StandardCharsets.UTF_8));
    return List.of(
        new Message.Started("v1", 4, 1),
        new Message.Tokens(id, 0, List.of("Hel")),
        new Message.Tokens(id, 1, List.of("lo")),
        new Message.End(id, 2, crc, "stop"));
  }

  void on(Class<?> type, BiFunction<String, Message, List<Message>> responder) {
    responders.put(type, responder);
  }

  long count(Class<?> type) {
    return received.stream().filter(type::isInstance).count();
  }

  private static String id(Message m) {
    if (m instanceof Message.Start s) {
      return s.requestId();
    }
    if (m instanceof Message.Resume r) {
      return r.requestId();
    }
    return m instanceof Message.ServiceCall c ? c.requestId() : "";
  }

  @Override
  public MessageStream open(String host, int port, StreamHandler handler) {
    return new MessageStream() {
      @Override
      public long id() {
        return 1;
      }

      @Override
      public boolean send(Message message) {
        received.add(message);
        var responder = responders.get(message.getClass());
        if (responder == null) {
          return true;
        }
        for (Message m : responder.apply(FakeServers.id(message), message)) {
          if (m == RESET) {
            handler.onClosed(this, Failure.of(ErrorKind.INCOMPLETE, "reset"));
          } else {
            handler.onMessage(this, m);
          }
        }
        return true;
      }

      @Override
      public void close() {
        received.add(new Message.Notice());
      }
    };
  }
}
