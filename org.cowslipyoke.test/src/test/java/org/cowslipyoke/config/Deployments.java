package org.cowslipyoke.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.cowslipyoke.config.api.ApplySection;
import org.cowslipyoke.platform.TransactionalTable;
import org.cowslipyoke.util.Clock;

/** Reads the example deployments and writes them into a table. */
public final class Deployments {

  private Deployments() {}

  /** Returns a file of a deployment, for example {@code cooperativa/places.json}. */
  public static String text(String file) {
    try (InputStream in = Deployments.class.getResourceAsStream("/deployments/" + file)) {
      if (in == null) {
        throw new IllegalArgumentException(file);
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the section as the deployment has it. */
  public static String section(String deployment, Section section) {
    return text(deployment + "/" + section.wireName() + ".json");
  }

  /** Returns the credential of the team of a section. */
  public static String credential(String deployment, Section section) {
    return text(deployment + "/credentials/" + section.wireName() + ".txt").strip();
  }

  /** Returns the command that writes a section with the team's credential. */
  public static ApplySection apply(
      TransactionalTable table, Clock clock, String deployment, Section section, String json) {
    return ApplySection.of(table, clock, section)
        .json(json)
        .credential(credential(deployment, section))
        .who("maria")
        .reason("test");
  }

  /** Writes all sections. */
  public static void seed(TransactionalTable table, Clock clock, String deployment) {
    for (Section s : Section.values()) {
      apply(table, clock, deployment, s, section(deployment, s)).call().get();
    }
  }
}
