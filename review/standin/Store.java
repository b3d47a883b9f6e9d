package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Stand-in of the platform's store: the calls rows-get and rows-tx on the empty part. */
final class Store {

  private record Row(String base64, long version) {}

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final Listener listener;
  private long version = 10;

  Store() throws IOException {
    listener = new Listener(0, this::serve);
  }

  String address() {
    return listener.address();
  }

  /** Writes a row as an operator or a server does. */
  synchronized void put(String table, String key, String value) {
    String base64 = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    rows.put(table + "\n" + key, new Row(base64, ++version));
  }

  synchronized void remove(String table, String key) {
    rows.remove(table + "\n" + key);
    version++;
  }

  private void serve(Socket s, InputStream in) throws Exception {
    for (Http.Head h = Http.head(in); h != null; h = Http.head(in)) {
      String call = new String(Http.body(in, h, false), StandardCharsets.UTF_8);
      String target = h.word(1);
      String answer;
      int status = 200;
      synchronized (this) {
        if (target.startsWith("/rows-get?")) {
          answer = read(query(target));
        } else if (target.equals("/rows-tx")) {
          answer = transact(Json.object(Json.parse(call)));
          status = answer.startsWith("{\"Rows\"") ? 412 : 200;
        } else {
          answer = "{}";
          status = 404;
        }
      }
      byte[] body = answer.getBytes(StandardCharsets.UTF_8);
      String head =
          "HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nContent-Length: "
              + body.length + "\r\n\r\n";
      s.getOutputStream().write((head + answer).getBytes(StandardCharsets.UTF_8));
    }
  }

  private static Map<String, String> query(String target) {
    Map<String, String> q = new HashMap<>();
    for (String p : target.substring(target.indexOf('?') + 1).split("&")) {
      int eq = p.indexOf('=');
      q.put(p.substring(0, eq), URLDecoder.decode(p.substring(eq + 1), StandardCharsets.UTF_8));
    }
    return q;
  }

  private String read(Map<String, String> q) {
    String table = q.get("Table") + "\n";
    String to = q.getOrDefault("To", "");
    int limit = Math.min(500, Integer.parseInt(q.getOrDefault("Limit", "500")));
    SortedMap<String, Row> range =
        rows.subMap(
            table + q.getOrDefault("From", ""),
            to.isEmpty() ? table + Character.MAX_VALUE : table + to);
    StringBuilder b = new StringBuilder("{\"Rows\":[");
    int n = 0;
    for (Map.Entry<String, Row> e : range.entrySet()) {
      if (n++ < limit) {
        b.append(n > 1 ? "," : "").append(row(e.getKey(), e.getValue()));
      }
    }
    return b.append("],\"MorePages\":").append(n > limit).append(tail()).toString();
  }

  private String tail() {
    return ",\"Ver\":" + version + ",\"NowMs\":" + System.nanoTime() / 1_000_000 + "}";
  }

  private static String row(String key, Row r) {
    String[] names = key.split("\n", 2);
    return "{\"Table\":" + Json.quote(names[0]) + ",\"part\":\"\",\"Key\":" + Json.quote(names[1])
        + ",\"Value\":\"" + r.base64() + "\",\"Ver\":" + r.version() + "}";
  }

  private static String key(Object o) {
    Map<String, Object> m = Json.object(o);
    return m.get("Table") + "\n" + m.get("Key");
  }

  private String transact(Map<String, Object> call) {
    StringBuilder current = new StringBuilder();
    boolean holds = true;
    for (Object o : Json.array(call.get("Expected"))) {
      Row r = rows.get(key(o));
      long expected = ((Number) Json.object(o).get("Ver")).longValue();
      holds &= expected == (r == null ? 0 : r.version());
      if (r != null) {
        current.append(current.length() > 0 ? "," : "").append(row(key(o), r));
      }
    }
    if (!holds) {
      return "{\"Rows\":[" + current + "]" + tail();
    }
    version++;
    List<Object> puts = Json.array(call.get("Puts"));
    puts.forEach(p -> rows.put(key(p), new Row((String) Json.object(p).get("Value"), version)));
    Json.array(call.get("Remove")).forEach(r -> rows.remove(key(r)));
    return "{\"Ver\":" + version + ",\"NowMs\":" + System.nanoTime() / 1_000_000 + "}";
  }
}
