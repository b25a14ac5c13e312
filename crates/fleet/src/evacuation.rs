//! Evacuated failure domains, whose workers get no new runs.

use hornbeam_core::evacuation::EvacuationList;

use crate::fleet::Fleet;

impl Fleet {
    /// Applies the list of evacuated failure domains. Lists come from several
    /// control hosts and can arrive late, so a lower revision changes nothing.
    pub(crate) fn on_evacuations(&mut self, list: EvacuationList) {
        if list.revision > self.evacuations.revision {
            self.evacuations = list;
        }
    }
}
