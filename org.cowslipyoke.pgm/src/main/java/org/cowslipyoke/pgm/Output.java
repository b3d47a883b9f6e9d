package org.cowslipyoke.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.errors.Failure;

/** Prints results as text or as JSON. */
final class Output {

  private final PrintWriter out;
  private final PrintWriter err;
  private final boolean asJson;

  Output(PrintWriter out, PrintWriter err, boolean asJson) {
    this.out = out;
    this.err = err;
    this.asJson = asJson;
  }

  static List<String> withHeading(String heading, List<String> lines) {
    List<String> all = new ArrayList<>(lines.size() + 1);
    all.add(heading);
    all.addAll(lines);
    return all;
  }

  void printResult(JsonNode json, List<String> lines) {
    if (asJson) {
      printJson(json);
    } else {
      lines.forEach(out::println);
    }
  }

  void printJson(JsonNode json) {
    out.println(json.toPrettyString());
  }

  void printFailure(Failure failure) {
    if (asJson) {
      var n = JsonNodeFactory.instance.objectNode();
      var e = n.putObject("error").put("kind", failure.kind().wireName());
      e.put("message", failure.message()).put("outcome", failure.outcome().wireName());
      err.println(n.toPrettyString());
    } else {
      err.println(failure.kind().wireName() + ": " + failure.message());
    }
  }
}
