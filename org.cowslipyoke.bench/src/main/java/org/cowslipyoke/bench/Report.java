package org.cowslipyoke.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/** Prints the results of one run and whether the targets of section 1.4 are met. */
final class Report {

  private static final long TTFT_TARGET_MS = 570;
  private static final long TBT_TARGET_MS = 74;
  private static final double RECOMPUTED_TARGET = 0.05;

  private Report() {}

  static void print(JsonNode run) {
    JsonNode ttft = run.path("ttft_ms");
    JsonNode tbt = run.path("tbt_ms");
    System.out.printf(
        "%s policy=%s seed=%d run_ms=%d%n",
        run.path("scenario").asText(),
        run.path("policy").asText(),
        run.path("seed").asLong(),
        run.path("run_ms").asLong());
    System.out.printf("  ttft_ms p50=%s p95=%s p99=%s%n", at(ttft, 50), at(ttft, 95), at(ttft, 99));
    System.out.printf("  tbt_ms  p50=%s p95=%s p99=%s%n", at(tbt, 50), at(tbt, 95), at(tbt, 99));
    System.out.printf(
        "  answered=%s not_run=%s unknown=%s failed=%s errors=%s%n",
        run.path("answered"),
        run.path("not_run"),
        run.path("unknown"),
        run.path("failed"),
        run.path("errors"));
    System.out.printf(
        Locale.ROOT,
        "  recomputed_share=%.3f of %s reusable tokens, domain_work_late=%s%n",
        run.path("recomputed_share").asDouble(),
        run.path("reusable_tokens"),
        run.path("domain_work_late"));
    double peak = 0;
    for (JsonNode link : run.path("links")) {
      peak = Math.max(peak, link.path("peak_share").asDouble());
    }
    System.out.printf(Locale.ROOT, "  links=%d peak_share=%.2f%n", run.path("links").size(), peak);
    target("first token within 570 ms for 95 %", ttft.path("p95").asLong() <= TTFT_TARGET_MS);
    target("74 ms between tokens for 95 %", tbt.path("p95").asLong() <= TBT_TARGET_MS);
    target("recomputed under 5 %", run.path("recomputed_share").asDouble() < RECOMPUTED_TARGET);
    target("no link over its budget", peak <= 1.0);
    target("no failed request", notAnswered(run) == 0);
    target("no late work", run.path("domain_work_late").asLong() == 0);
  }

  private static long notAnswered(JsonNode run) {
    return run.path("not_run").asLong()
        + run.path("unknown").asLong()
        + run.path("failed").asLong();
  }

  private static String at(JsonNode percentiles, int p) {
    return percentiles.path("p" + p).asText();
  }

  private static void target(String name, boolean met) {
    System.out.println("  target " + name + ": " + (met ? "met" : "NOT met"));
  }
}
