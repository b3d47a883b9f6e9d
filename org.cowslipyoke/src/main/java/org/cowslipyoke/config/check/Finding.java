package org.cowslipyoke.config.check;

import java.util.Locale;
import org.cowslipyoke.config.Section;

/**
 * One finding of the check of a configuration.
 *
 * @param section section whose team can mend it
 * @param message path, value and what is allowed or why the entry has no effect
 */
public record Finding(Severity severity, Section section, String message) {

  /** What a finding means for the document. */
  public enum Severity {
    /** The daemons or {@code apply} refuse the document. */
    ERROR,
    /** The document is accepted, but the entry can't have the effect that it states. */
    WARNING;

    /** Returns the name in outputs. */
    public String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  static Finding error(Section section, String message) {
    return new Finding(Severity.ERROR, section, message);
  }

  static Finding warning(Section section, String path, String message) {
    return new Finding(Severity.WARNING, section, path + ": " + message);
  }

  /** Returns the path in the section or the document, empty for text that is not JSON. */
  public String path() {
    return message.startsWith("/") ? message.substring(0, message.indexOf(": ")) : "";
  }

  /** Returns whether the document is refused because of it. */
  public boolean isError() {
    return severity == Severity.ERROR;
  }
}
