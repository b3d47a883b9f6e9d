package org.cowslipyoke.config;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.Locale;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;

/** The sections of the configuration document. Each one is edited by its own team. */
public enum Section {
  ORGANISATIONS,
  MODELS,
  PLACES,
  LIMITS;

  /** Returns the name in documents, rows and commands. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the section with the given name. */
  public static Either<Failure, Section> parse(String name) {
    for (Section s : values()) {
      if (s.wireName().equals(name)) {
        return Either.right(s);
      }
    }
    String all = String.join(", ", Arrays.stream(values()).map(Section::wireName).toList());
    return Either.left(
        Failure.of(ErrorKind.NOT_FOUND, "section \"" + name + "\" is unknown; allowed: " + all));
  }
}
