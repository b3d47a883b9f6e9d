package org.cowslipyoke.message;

/**
 * A message with the header fields of its frame.
 *
 * @param streamId id of the stream to which the message belongs, 0 for the connection itself
 * @param configVersion head version of the sender's configuration, 0 if it has none
 * @param suspectsVersion version of the sender's suspects list, 0 if it has none
 * @param message body
 */
public record Envelope(long streamId, long configVersion, long suspectsVersion, Message message) {}
