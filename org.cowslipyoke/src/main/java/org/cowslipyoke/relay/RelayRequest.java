package org.cowslipyoke.relay;

import org.jspecify.annotations.Nullable;

/**
 * A request of a caller that is passed on as it is.
 *
 * @param target path and query as received
 * @param path path as received
 * @param waitMs time that the caller waits
 * @param key bearer key, null if there is none
 * @param prompt what it tells about its prompt, null for other requests
 * @param lastEventId last event that the caller has, null if it asks for the whole stream
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
    @Nullable String lastEventId) {}
