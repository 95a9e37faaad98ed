#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <vector>

#include "quarantine/quarantine_types.h"

namespace buckthornhill::quarantine {
//! Decides which suspects are written to a store that outlives all instances, and which are removed from it.
//! The caller makes the writes, one at a time for each suspect, and reports their results.
class archive_schedule
{
public:
    enum class write_kind { create, replace, remove };
    enum class write_result {
        done,
        exists,  //!< an object that was to be created was there already
        missing, //!< an object that was to be replaced or removed was not there
        failed   //!< or its result is not known
    };
    struct write
    {
        write_kind kind = write_kind::create;
        suspect_report content; //!< only the fingerprint for a removal
    };

    //! Records an object of the store. Returns whether its content is not known yet.
    bool on_stored(const suspect_report& content, object_version version);
    //! Writes that are due now. `lasting` are all suspects that have to outlive the instances; stored ones
    //! that are not among them are removed. Only suspects for which `is_responsible` is true are written by
    //! this instance.
    std::vector<write> take_due(time_point now, const std::vector<suspect_report>& lasting,
                                const std::function<bool(fingerprint)>& is_responsible);
    void on_result(time_point now, const write& finished, write_result result);
    //! The store came back from an older copy, so it may lack any object or hold one that was removed.
    void on_store_restored();
    bool is_empty() const { return this->objects.empty(); }

private:
    struct stored_suspect
    {
        bool is_stored = false;
        std::size_t runs = 0;
        int quarantines = 0;
        object_version version;
        bool is_being_written = false;
        time_point next_write_at{};
    };

    std::map<fingerprint, stored_suspect> objects;
};
} // namespace buckthornhill::quarantine
