package review2;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: rows-get and rows-tx. */
final class PlatformTable {
  private record Row(byte[] value, long version) {}

  final int port = Lab.freePort();
  private final Lab lab;
  private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
  private long version;

  PlatformTable(Lab lab) {
    this.lab = lab;
    lab.serve(port, this::handle);
  }

  /** Writes a row as operators and servers do. */
  synchronized void put(String table, String key, Object value) {
    byte[] bytes = Json.write(value).getBytes(StandardCharsets.UTF_8);
    tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, new Row(bytes, ++version));
  }

  synchronized void remove(String table, String key) {
    version++;
    tables.getOrDefault(table, new TreeMap<>()).remove(key);
  }

  private void handle(HttpExchange x) throws IOException {
    String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Lab.sleep(4);
    switch (x.getRequestURI().getPath()) {
      case "/rows-get" -> Lab.json(x, 200, get(Lab.query(x)));
      case "/rows-tx" -> {
        Object conflict = transact((Map<?, ?>) Json.parse(body));
        Lab.json(x, conflict == null ? 200 : 412, conflict == null ? stamp() : conflict);
      }
      default -> Lab.json(x, 404, Json.object());
    }
  }

  private Map<String, Object> stamp() {
    return Json.object("Ver", version, "NowMs", 1_000_000 + lab.ms());
  }

  private synchronized Map<String, Object> get(Map<String, String> q) {
    TreeMap<String, Row> t = tables.getOrDefault(q.get("Table"), new TreeMap<>());
    long limit = Lab.number(q.get("Limit"), 500);
    List<Object> rows = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Row> e : t.tailMap(q.getOrDefault("From", "")).entrySet()) {
      if (q.containsKey("To") && e.getKey().compareTo(q.get("To")) >= 0) {
        break;
      }
      if (rows.size() == limit) {
        more = true;
        break;
      }
      rows.add(row(q.get("Table"), e.getKey(), e.getValue()));
    }
    Map<String, Object> r = stamp();
    r.put("Rows", rows);
    r.put("MorePages", more);
    return r;
  }

  private static Map<String, Object> row(String table, String key, Row r) {
    return Json.object(
        "Table",
        table,
        "part",
        "",
        "Key",
        key,
        "Value",
        Base64.getEncoder().encodeToString(r.value()),
        "Ver",
        r.version());
  }

  /** Applies a transaction; returns null, or what the row in conflict is now. */
  private synchronized Object transact(Map<?, ?> tx) {
    List<Object> now = new ArrayList<>();
    boolean conflict = false;
    for (Object o : list(tx, "Expected")) {
      Map<?, ?> e = (Map<?, ?>) o;
      String table = (String) e.get("Table");
      Row r = tables.computeIfAbsent(table, t -> new TreeMap<>()).get(e.get("Key"));
      conflict |= (r == null ? 0 : r.version()) != (Long) e.get("Ver");
      if (r != null) {
        now.add(row(table, (String) e.get("Key"), r));
      }
    }
    if (conflict) {
      Map<String, Object> s = stamp();
      s.put("Rows", now);
      return s;
    }
    version++;
    for (Object o : list(tx, "Puts")) {
      Map<?, ?> p = (Map<?, ?>) o;
      byte[] value = Base64.getDecoder().decode((String) p.get("Value"));
      tables
          .computeIfAbsent((String) p.get("Table"), t -> new TreeMap<>())
          .put((String) p.get("Key"), new Row(value, version));
    }
    for (Object o : list(tx, "Remove")) {
      Map<?, ?> p = (Map<?, ?>) o;
      tables.computeIfAbsent((String) p.get("Table"), t -> new TreeMap<>()).remove(p.get("Key"));
    }
    return null;
  }

  private static List<?> list(Map<?, ?> m, String name) {
    return m.get(name) instanceof List<?> l ? l : List.of();
  }
}
