package org.cowslipyoke.transport;

import java.io.IOException;
import org.cowslipyoke.message.Message.Cancel;
import org.cowslipyoke.message.Message.Document;
import org.cowslipyoke.message.Message.DocumentPull;
import org.cowslipyoke.message.Message.End;
import org.cowslipyoke.message.Message.Failed;
import org.cowslipyoke.message.Message.Heartbeat;
import org.cowslipyoke.message.Message.Hello;
import org.cowslipyoke.message.Message.Notice;
import org.cowslipyoke.message.Message.Offer;
import org.cowslipyoke.message.Message.Probe;
import org.cowslipyoke.message.Message.Refused;
import org.cowslipyoke.message.Message.Release;
import org.cowslipyoke.message.Message.Resume;
import org.cowslipyoke.message.Message.ServiceCall;
import org.cowslipyoke.message.Message.ServiceReply;
import org.cowslipyoke.message.Message.Start;
import org.cowslipyoke.message.Message.Started;
import org.cowslipyoke.message.Message.StreamClosed;
import org.cowslipyoke.message.Message.Tokens;

/** Fields of the messages, in the order of their records. */
final class MessageFields {

  private MessageFields() {}

  static void probe(FieldWriter w, Probe m) throws IOException {
    w.name(m.requestId()).name(m.organisation()).name(m.model()).name(m.adapter());
    w.name(m.weightVersion()).name(m.digest()).name(m.priority()).number(m.deadlineMs());
    w.number(m.maxTokens()).number(m.promptTokens()).keys(m.blockKeys()).flag(m.suspect());
  }

  static Probe probe(FieldReader r) throws IOException {
    return new Probe(
        r.name(),
        r.name(),
        r.name(),
        r.name(),
        r.name(),
        r.name(),
        r.name(),
        r.number(),
        r.count(),
        r.count(),
        r.keys(),
        r.flag());
  }

  static void offer(FieldWriter w, Offer m) throws IOException {
    w.number(m.reservationId()).number(m.cachedTokens()).number(m.fetchableTokens());
    w.number(m.linkBytes()).number(m.ttftMs()).number(m.queued()).number(m.active());
    w.name(m.weightVersion()).number(m.runningOffset());
  }

  static Offer offer(FieldReader r) throws IOException {
    return new Offer(
        r.number(),
        r.count(),
        r.count(),
        r.size(),
        r.size(),
        r.count(),
        r.count(),
        r.name(),
        r.number());
  }

  static void start(FieldWriter w, Start m) throws IOException {
    w.name(m.requestId()).number(m.attempt()).number(m.reservationId()).name(m.organisation());
    w.name(m.model()).name(m.adapter()).name(m.weightVersion()).name(m.digest());
    w.name(m.priority()).number(m.maxTokens()).binary(m.prompt()).binary(m.generatedPrefix());
    w.number(m.offset()).flag(m.suspect()).number(m.deadlineMs());
  }

  static Start start(FieldReader r) throws IOException {
    return new Start(
        r.name(),
        r.count(),
        r.number(),
        r.name(),
        r.name(),
        r.name(),
        r.name(),
        r.name(),
        r.name(),
        r.count(),
        r.binary(),
        r.binary(),
        r.size(),
        r.flag(),
        r.number());
  }

  static void call(FieldWriter w, ServiceCall m) throws IOException {
    w.name(m.requestId()).name(m.organisation()).name(m.method()).text(m.path());
    w.texts(m.headers()).binary(m.body()).flag(m.idempotent()).number(m.deadlineMs());
  }

  static ServiceCall call(FieldReader r) throws IOException {
    return new ServiceCall(
        r.name(), r.name(), r.name(), r.text(), r.texts(), r.binary(), r.flag(), r.number());
  }

  static void reply(FieldWriter w, ServiceReply m) throws IOException {
    w.name(m.requestId()).number(m.status()).texts(m.headers()).binary(m.body());
    w.number(m.checksum());
  }

  static ServiceReply reply(FieldReader r) throws IOException {
    return new ServiceReply(r.name(), r.count(), r.texts(), r.binary(), r.number());
  }

  static void hello(FieldWriter w, Hello m) throws IOException {
    w.name(m.vm()).name(m.role()).name(m.failureDomain());
  }

  static Hello hello(FieldReader r) throws IOException {
    return new Hello(r.name(), r.name(), r.name());
  }

  static void refused(FieldWriter w, Refused m) throws IOException {
    w.kind(m.kind()).explanation(m.message()).number(m.retryAfterMs());
  }

  static Refused refused(FieldReader r) throws IOException {
    return new Refused(r.kind(), r.name(), r.size());
  }

  static void release(FieldWriter w, Release m) throws IOException {
    w.number(m.reservationId());
  }

  static Release release(FieldReader r) throws IOException {
    return new Release(r.number());
  }

  static void started(FieldWriter w, Started m) throws IOException {
    w.name(m.weightVersion()).number(m.reusedTokens()).number(m.recomputedTokens());
  }

  static Started started(FieldReader r) throws IOException {
    return new Started(r.name(), r.count(), r.count());
  }

  static void tokens(FieldWriter w, Tokens m) throws IOException {
    w.name(m.requestId()).number(m.offset()).texts(m.pieces());
  }

  static Tokens tokens(FieldReader r) throws IOException {
    return new Tokens(r.name(), r.size(), r.texts());
  }

  static void end(FieldWriter w, End m) throws IOException {
    w.name(m.requestId()).number(m.tokenCount()).number(m.checksum()).name(m.finishReason());
  }

  static End end(FieldReader r) throws IOException {
    return new End(r.name(), r.size(), r.number(), r.name());
  }

  static void failed(FieldWriter w, Failed m) throws IOException {
    w.name(m.requestId()).kind(m.kind()).name(m.outcome().name()).explanation(m.message());
  }

  static Failed failed(FieldReader r) throws IOException {
    return new Failed(r.name(), r.kind(), r.outcome(), r.name());
  }

  static void resume(FieldWriter w, Resume m) throws IOException {
    w.name(m.requestId()).name(m.organisation()).name(m.digest()).number(m.offset());
  }

  static Resume resume(FieldReader r) throws IOException {
    return new Resume(r.name(), r.name(), r.name(), r.size());
  }

  static void cancel(FieldWriter w, Cancel m) throws IOException {
    w.name(m.requestId());
  }

  static Cancel cancel(FieldReader r) throws IOException {
    return new Cancel(r.name());
  }

  static void pull(FieldWriter w, DocumentPull m) throws IOException {
    w.name(m.name()).number(m.haveVersion());
  }

  static DocumentPull pull(FieldReader r) throws IOException {
    return new DocumentPull(r.name(), r.size());
  }

  static void document(FieldWriter w, Document m) throws IOException {
    w.name(m.name()).number(m.version()).number(m.fromVersion()).binary(m.json());
  }

  static Document document(FieldReader r) throws IOException {
    return new Document(r.name(), r.size(), r.size(), r.binary());
  }

  static void closed(FieldWriter w, StreamClosed m) throws IOException {
    w.kind(m.kind()).explanation(m.message());
  }

  static StreamClosed closed(FieldReader r) throws IOException {
    return new StreamClosed(r.kind(), r.name());
  }

  static void heartbeat(FieldWriter w, Heartbeat m) {}

  static Heartbeat heartbeat(FieldReader r) {
    return new Heartbeat();
  }

  static void notice(FieldWriter w, Notice m) {}

  static Notice notice(FieldReader r) {
    return new Notice();
  }
}
