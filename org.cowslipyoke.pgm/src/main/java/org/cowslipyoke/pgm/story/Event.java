package org.cowslipyoke.pgm.story;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Event that a log line reports, identified by the beginning of its message. */
public enum Event {
  STARTED("started", Scope.VM),
  STOPPING("stopping", Scope.VM),
  DRAINED("drained", Scope.VM),
  STOPPED("stopped", Scope.VM),
  DESIRED_STATE("desired state in force", Scope.VM),
  DOMAINS_OUT("failure domains out", Scope.VM),
  WEIGHTS_NAMED("weights named", Scope.VM),
  ROLLOUT_ORDERS("rollout orders", Scope.VM),
  ROLLOUT_DECIDED("rollout decided", Scope.VM),
  ROLLOUT_STEP("rollout step", Scope.VM),
  ROLLOUT_HALTED("rollout halted", Scope.VM),
  STORE_LOST("store lost", Scope.VM),
  STORE_REGAINED("store regained", Scope.VM),
  LOADS_LOST("load reports lost", Scope.VM),
  LOADS_REGAINED("load reports regained", Scope.VM),
  SERVER_CHANGED("server changed", Scope.SERVER),
  SERVER_GONE("server gone", Scope.SERVER),
  SERVER_IGNORED("server row ignored", Scope.SERVER),
  CACHE_LOST("cache reader lost", Scope.SERVER),
  CACHE_REGAINED("cache reader regained", Scope.SERVER),
  ORDER_GIVEN("order given", Scope.SERVER),
  ORDER_PUT_OFF("order put off", Scope.SERVER),
  FIRST_TOKEN("first token", Scope.REQUEST),
  ATTEMPT_ENDED("attempt ended", Scope.REQUEST),
  REFUSED("refused", Scope.REQUEST),
  OWN_ANSWER("own answer", Scope.REQUEST),
  ANSWER_PASSED_ON("answer passed on", Scope.REQUEST),
  ANSWER_CUT("answer cut", Scope.REQUEST),
  CALLER_LEFT("caller left", Scope.REQUEST),
  BODY_NOT_READ("body not read", Scope.REQUEST),
  REQUEST_FAILED("request failed", Scope.REQUEST),
  OTHER("", Scope.NONE);

  /** Kind of object that an event is about. */
  public enum Scope {
    VM,
    SERVER,
    REQUEST,
    NONE
  }

  private static final Map<String, Event> BY_TEXT =
      Arrays.stream(values()).collect(Collectors.toMap(e -> e.text, Function.identity()));

  private final String text;
  private final Scope scope;

  Event(String text, Scope scope) {
    this.text = text;
    this.scope = scope;
  }

  /** Returns the event that a message reports, {@link #OTHER} if it is not known. */
  static Event of(String message) {
    int colon = message.indexOf(':');
    return BY_TEXT.getOrDefault(colon < 0 ? message : message.substring(0, colon), OTHER);
  }

  /** Returns the text with which messages of the event begin. */
  String text() {
    return text;
  }

  Scope scope() {
    return scope;
  }

  /** Returns whether the event ends the handling of a request at a VM. */
  boolean isEnd() {
    return scope == Scope.REQUEST && this != FIRST_TOKEN && this != ATTEMPT_ENDED;
  }
}
