package org.cowslipyoke.daemon.entry;

import java.util.Set;

/** Names of the HTTP headers between callers and the entry. */
final class Headers {

  static final String REQUEST_ID = "X-Request-Id";
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String CONVERSATION_ID = "X-Conversation-Id";
  static final String DEADLINE_MS = "X-Deadline-Ms";
  static final String PRIORITY = "X-Priority";
  static final String LAST_EVENT_ID = "Last-Event-ID";
  static final String SERVER = "X-Server";
  static final String REUSED_TOKENS = "X-Reused-Tokens";

  /**
   * Headers, in lower case, that are not passed on between a caller and a plain service: those of
   * one connection (RFC 9110, section 7.6.1), and the caller's credential.
   */
  static final Set<String> NOT_FORWARDED =
      Set.of(
          "authorization",
          "connection",
          "content-length",
          "expect",
          "host",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private Headers() {}
}
