package org.cowslipyoke.relay;

import org.jspecify.annotations.Nullable;

/**
 * A caller's request that is passed on to a backend server unchanged.
 *
 * @param target path and query as received
 * @param path path as received
 * @param waitMs time that the caller waits for the response, in milliseconds
 * @param key bearer key, null if there is none
 * @param prompt description of the prompt, null for other requests
 * @param lastEventId id of the last event that the caller received, null if it requests the whole
 *     stream
 * @param firstRequest id of the caller's request that brought the first event of a stream that is
 *     taken up again, null if the caller names none
 */
public record RelayRequest(
    String id,
    String method,
    String host,
    String target,
    String path,
    long waitMs,
    @Nullable String key,
    @Nullable Prompt prompt,
    @Nullable String lastEventId,
    @Nullable String firstRequest) {

  /** Maximum length of an id in a log line; callers may send ids as long as a head may be. */
  private static final int MAX_LOGGED_ID = 128;

  /** Returns the id for log lines, shortened if it is very long. */
  public String loggedId() {
    return logged(id);
  }

  /** Returns a text of the caller for log lines, shortened if it is very long; "" for null. */
  public static String logged(@Nullable String text) {
    if (text == null) {
      return "";
    }
    return text.length() <= MAX_LOGGED_ID ? text : text.substring(0, MAX_LOGGED_ID);
  }
}
