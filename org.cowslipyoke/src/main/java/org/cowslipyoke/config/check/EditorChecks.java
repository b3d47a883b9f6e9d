package org.cowslipyoke.config.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipyoke.config.Editors;
import org.cowslipyoke.config.Section;
import org.cowslipyoke.config.SectionDraft;

/** Finds editors that can never change their section. */
final class EditorChecks {

  private EditorChecks() {}

  static List<Finding> findings(Map<Section, SectionDraft> drafts) {
    List<Finding> findings = new ArrayList<>();
    Map<String, Section> owner = new HashMap<>();
    drafts.forEach(
        (section, draft) -> {
          List<String> hashes = draft.editors().map(Editors::hashes).orElse(List.of());
          Set<String> seen = new HashSet<>();
          for (int i = 0; i < hashes.size(); i++) {
            String hash = hashes.get(i);
            String path = "/editors/" + i;
            Section other = owner.putIfAbsent(hash, section);
            if (!seen.add(hash)) {
              findings.add(Finding.warning(section, path, "the hash is listed twice"));
            } else if (other != null && other != section) {
              String m =
                  "the hash also stands in section "
                      + other.wireName()
                      + ", and is that of a credential for at most one of them";
              findings.add(Finding.warning(section, path, m));
            }
          }
        });
    return findings;
  }
}
