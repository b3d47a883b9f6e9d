package org.cowslipyoke.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Weights, adapters and role of an engine, changed by orders; guarded by the engine model. */
final class EngineOrders {

  /** Result of an order. */
  enum Result {
    ACCEPTED,
    OUTDATED,
    UNKNOWN_KIND
  }

  private static final int MAX_HISTORY = 200;

  private final JsonSettings settings;
  private final Deque<ObjectNode> history = new ArrayDeque<>();
  private final List<String> adapters = new ArrayList<>();
  private String model = "";
  private String weightVersion = "";
  private String engineRole = "";
  private long fencingNumber;
  private long loadSerial;
  private boolean loading;
  private long accepted;
  private long outdated;

  EngineOrders(JsonSettings settings) {
    this.settings = settings;
    restart();
  }

  /** Restores the initial state except the fencing number, which survives a restart. */
  void restart() {
    model = settings.text("model");
    weightVersion = settings.text("weightVersion");
    engineRole = settings.text("engineRole");
    adapters.clear();
    settings.node("adapters").forEach(a -> adapters.add(a.asText()));
    loading = false;
    loadSerial++;
  }

  /** Checks an order and starts it. {@link #finishLoad} ends a started load. */
  Result begin(JsonNode order) {
    long number = order.path("fencingNumber").asLong();
    boolean enforced = settings.text("fencing").equals("enforced");
    boolean old = number < fencingNumber;
    history.add(
        ((ObjectNode) order).deepCopy().put("outdated", old).put("refused", old && enforced));
    if (history.size() > MAX_HISTORY) {
      history.remove();
    }
    if (old) {
      outdated++;
      if (enforced) {
        return Result.OUTDATED;
      }
    }
    fencingNumber = Math.max(fencingNumber, number);
    switch (order.path("kind").asText()) {
      case "load", "load_adapter" -> {
        loading = true;
        loadSerial++;
      }
      case "unload_adapter" -> adapters.remove(order.path("adapter").asText());
      case "role" -> engineRole = order.path("engineRole").asText();
      default -> {
        return Result.UNKNOWN_KIND;
      }
    }
    accepted++;
    return Result.ACCEPTED;
  }

  long loadSerial() {
    return loadSerial;
  }

  boolean isLoading() {
    return loading;
  }

  /** Ends a load; returns whether the weights of the model changed. */
  boolean finishLoad(JsonNode order, long serial, boolean succeeded) {
    if (serial != loadSerial) {
      return false;
    }
    loading = false;
    if (!succeeded) {
      return false;
    }
    if (order.path("kind").asText().equals("load_adapter")) {
      String a = order.path("adapter").asText();
      adapters.remove(a);
      adapters.add(a);
      return false;
    }
    if (!model.equals(order.path("model").asText())) {
      adapters.clear();
    }
    model = order.path("model").asText();
    weightVersion = order.path("weightVersion").asText();
    return true;
  }

  /** Waits until the load is complete; called without holding the lock of the engine model. */
  boolean transfer(JsonNode order) throws InterruptedException {
    if (order.path("kind").asText().equals("load_adapter")) {
      Thread.sleep(settings.number("adapterLoadMs"));
      return true;
    }
    String store = settings.text("weightStore");
    if (store.isEmpty()) {
      Thread.sleep(settings.number("weightLoadMs"));
      return true;
    }
    HttpRequest r =
        HttpRequest.newBuilder(URI.create(store + "/v1/loads"))
            .timeout(Duration.ofSeconds(60))
            .POST(HttpRequest.BodyPublishers.ofString(order.toString()))
            .build();
    try {
      HttpClient c = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
      return c.send(r, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean serves(String wantedModel, String adapter) {
    return wantedModel.equals(model) && (adapter.isEmpty() || adapters.contains(adapter));
  }

  String weightVersion() {
    return weightVersion;
  }

  void write(ObjectNode out) {
    out.put("model", model).put("weightVersion", weightVersion).put("engineRole", engineRole);
    out.put("loading", loading).put("fencingNumber", fencingNumber);
    ArrayNode list = out.putArray("adapters");
    adapters.forEach(list::add);
  }

  void stats(ObjectNode out) {
    out.put("ordersAccepted", accepted).put("ordersOutdated", outdated);
    ArrayNode list = out.putArray("orders");
    history.forEach(list::add);
  }
}
