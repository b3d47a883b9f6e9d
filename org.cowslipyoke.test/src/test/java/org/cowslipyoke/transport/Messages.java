package org.cowslipyoke.transport;

import java.util.List;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Outcome;
import org.cowslipyoke.message.Message;

/** One message of each type, with distinct field values so that swapped fields are noticed. */
final class Messages {

  private Messages() {}

  static List<Message> all() {
    List<BlockKey> keys = List.of(new BlockKey("0123456789abcdef".repeat(2)));
    List<String> texts = List.of("é", "", "🐎");
    return List.of(
        new Message.Hello("vm", "server", "golega"),
        new Message.Heartbeat(),
        new Message.Probe("r", "o", "m", "a", "w", "d", "interactive", 1, 2, 3, keys, true),
        new Message.Offer(Long.MIN_VALUE, 1, 2, 3, 4, 5, 6, "w", -1),
        new Message.Refused(ErrorKind.SERVER_COLD, "cold", 250),
        new Message.Release(77),
        start(new byte[] {1, 2, 3}),
        new Message.Started("w", 1, 2),
        new Message.Tokens("r", 9, texts),
        new Message.End("r", 3, 0xffffffffL, "stop"),
        new Message.Failed("r", ErrorKind.ENGINE_CRASHED, Outcome.UNKNOWN, "crash"),
        new Message.Resume("r", "o", "d", 4),
        new Message.Cancel("r"),
        new Message.ServiceCall("r", "o", "POST", "/p", texts, new byte[] {7}, true, 5),
        new Message.ServiceReply("r", 201, texts, new byte[0], 8),
        new Message.DocumentPull("configuration", 3),
        new Message.Document("suspects", 5, 4, new byte[] {123, 125}),
        new Message.Notice(),
        new Message.StreamClosed(ErrorKind.PROTOCOL_ERROR, "closed"));
  }

  static Message.Start start(byte[] prompt) {
    byte[] prefix = {9};
    return new Message.Start(
        "r", 1, 2, "o", "m", "a", "w", "d", "overnight", 3, prompt, prefix, 4, true, 5);
  }
}
