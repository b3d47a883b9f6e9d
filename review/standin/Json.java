package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader: objects are maps, arrays are lists, numbers are doubles or longs. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(Object o) {
    return (Map<String, Object>) o;
  }

  @SuppressWarnings("unchecked")
  static List<Object> array(Object o) {
    return o == null ? List.of() : (List<Object>) o;
  }

  static String quote(String s) {
    return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }

  private char next() {
    while (Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    return text.charAt(at);
  }

  private Object value() {
    char c = next();
    if (c == '{') {
      return readObject();
    }
    if (c == '[') {
      return readArray();
    }
    if (c == '"') {
      return readString();
    }
    int from = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    };
  }

  private Map<String, Object> readObject() {
    Map<String, Object> m = new LinkedHashMap<>();
    at++;
    while (next() != '}') {
      String key = readString();
      next();
      at++;
      m.put(key, value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return m;
  }

  private List<Object> readArray() {
    List<Object> a = new ArrayList<>();
    at++;
    while (next() != ']') {
      a.add(value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return a;
  }

  private String readString() {
    next();
    StringBuilder b = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        c = text.charAt(at++);
        if (c == 'u') {
          c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
          at += 4;
        } else {
          int escape = "bfnrt".indexOf(c);
          c = escape < 0 ? c : "\b\f\n\r\t".charAt(escape);
        }
      }
      b.append(c);
    }
    at++;
    return b.toString();
  }
}
