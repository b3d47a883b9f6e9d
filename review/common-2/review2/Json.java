package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles and booleans. */
public final class Json {
  private final String s;
  private int i;

  private Json(String s) {
    this.s = s;
  }

  /** Parses a text. */
  public static Object parse(String s) {
    return new Json(s).value();
  }

  /** Returns an object from names and values, alternating. */
  public static Map<String, Object> object(Object... namesAndValues) {
    Map<String, Object> m = new LinkedHashMap<>();
    for (int k = 0; k < namesAndValues.length; k += 2) {
      m.put((String) namesAndValues[k], namesAndValues[k + 1]);
    }
    return m;
  }

  /** Writes a value. */
  public static String write(Object o) {
    if (o instanceof Map<?, ?> m) {
      List<String> parts = new ArrayList<>();
      m.forEach((k, v) -> parts.add(quote((String) k) + ":" + write(v)));
      return "{" + String.join(",", parts) + "}";
    }
    if (o instanceof List<?> l) {
      return "[" + String.join(",", l.stream().map(Json::write).toList()) + "]";
    }
    return o instanceof String t ? quote(t) : String.valueOf(o);
  }

  private static String quote(String t) {
    return "\"" + t.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
  }

  private char next() {
    while (Character.isWhitespace(s.charAt(i))) {
      i++;
    }
    return s.charAt(i);
  }

  private Object value() {
    char c = next();
    if (c == '{') {
      Map<String, Object> m = new LinkedHashMap<>();
      i++;
      while (next() != '}') {
        String k = string();
        next();
        i++;
        m.put(k, value());
        if (next() == ',') {
          i++;
        }
      }
      i++;
      return m;
    }
    if (c == '[') {
      List<Object> l = new ArrayList<>();
      i++;
      while (next() != ']') {
        l.add(value());
        if (next() == ',') {
          i++;
        }
      }
      i++;
      return l;
    }
    if (c == '"') {
      return string();
    }
    int from = i;
    while (i < s.length() && "+-.eE0123456789truefalsn".indexOf(s.charAt(i)) >= 0) {
      i++;
    }
    String t = s.substring(from, i);
    return switch (t) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> "";
      default -> t.matches("-?\\d+") ? (Object) Long.parseLong(t) : (Object) Double.parseDouble(t);
    };
  }

  private String string() {
    next();
    StringBuilder b = new StringBuilder();
    i++;
    while (s.charAt(i) != '"') {
      char c = s.charAt(i++);
      if (c == '\\') {
        c = s.charAt(i++);
        switch (c) {
          case 'n' -> b.append('\n');
          case 't' -> b.append('\t');
          case 'r' -> b.append('\r');
          case 'b', 'f' -> b.append(' ');
          case 'u' -> {
            b.append((char) Integer.parseInt(s.substring(i, i + 4), 16));
            i += 4;
          }
          default -> b.append(c);
        }
      } else {
        b.append(c);
      }
    }
    i++;
    return b.toString();
  }
}
